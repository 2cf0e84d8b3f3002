package publisher

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

// askTimeout bounds one request to a peer.
const askTimeout = time.Second

// Asker returns a Settings.Ask that sends requests over a pool of sessions.
func Asker(pool *dialer.Pool, name string) func(ctx context.Context, address string, minRevision uint64) (*encoder.ConfigBody, error) {
	return func(ctx context.Context, address string, minRevision uint64) (*encoder.ConfigBody, error) {
		answer, err := Exchange(ctx, pool, address, &encoder.ConfigAsk{Asker: name, Least: minRevision})
		if err != nil {
			return nil, err
		}
		body := answer.GetConfigBody()
		if body == nil {
			return nil, eris.New("the peer answered something else than its configuration")
		}
		return body, nil
	}
}

// Exchange sends one message to a peer and returns the frame that answers it. It
// times out after a second.
func Exchange(ctx context.Context, pool *dialer.Pool, address string, message any) (*encoder.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return ExchangeUntil(ctx, pool, address, message)
}

// ExchangeUntil is like Exchange, but with the deadline of ctx.
func ExchangeUntil(ctx context.Context, pool *dialer.Pool, address string, message any) (*encoder.Frame, error) {
	conn, err := pool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	// Closing a yamux stream doesn't wake its reader; a deadline does.
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	stream := encoder.NewStream(conn)
	if err := stream.Write(encoder.Of(message)); err != nil {
		return nil, eris.Wrap(err, "ask peer")
	}
	return stream.Read()
}

// askPeers requests a revision of at least minRevision from up to maxPeers random
// peers concurrently, and brings the highest one into force. It returns how many
// peers answered, the highest revision that any of them has or knows of, and
// whether a revision came into force.
func (watcher *Watcher) askPeers(ctx context.Context, minRevision uint64, maxPeers int) (answered int, highest uint64, found bool) {
	peers := watcher.randomPeers(maxPeers)
	answers := make(chan *encoder.ConfigBody, len(peers))
	for _, address := range peers {
		go func() {
			body, err := watcher.settings.Ask(ctx, address, minRevision)
			if err != nil {
				body = nil
			}
			answers <- body
		}()
	}
	for range peers {
		body := <-answers
		if body == nil {
			continue
		}
		answered++
		highest = max(highest, body.GetRevision(), body.GetHeard())
		found = watcher.activateFrom(body, minRevision) || found
	}
	return answered, highest, found
}

// activateFrom brings a peer's configuration into force if its revision is at least
// minRevision.
func (watcher *Watcher) activateFrom(body *encoder.ConfigBody, minRevision uint64) bool {
	if body.GetRevision() < minRevision || len(body.GetBody()) == 0 {
		return false
	}
	accepted := Accepted{
		Head: Head{Revision: body.GetRevision(), Hash: body.GetHash(), ChangeID: body.GetChangeId()},
		Body: body.GetBody(),
	}
	if err := watcher.activate(accepted, "peer"); err != nil {
		watcher.settings.Log.WithError(err).Warn("a peer's configuration was refused")
		return false
	}
	return true
}

func (watcher *Watcher) randomPeers(maxPeers int) []string {
	peers := append([]string(nil), watcher.settings.Peers()...)
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(maxPeers, len(peers))]
}
