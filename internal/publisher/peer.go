package publisher

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

// askTimeout bounds one question to a peer.
const askTimeout = time.Second

// Asker returns a Settings.Ask that asks over a pool of sessions.
func Asker(pool *dialer.Pool, name string) func(ctx context.Context, address string, least uint64) (*encoder.ConfigBody, error) {
	return func(ctx context.Context, address string, least uint64) (*encoder.ConfigBody, error) {
		answer, err := Exchange(ctx, pool, address, &encoder.ConfigAsk{Asker: name, Least: least})
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

// Exchange sends one message to a peer and returns the frame that answers it.
func Exchange(ctx context.Context, pool *dialer.Pool, address string, message any) (*encoder.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := pool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	stream := encoder.NewStream(conn)
	if err := stream.Write(encoder.Of(message)); err != nil {
		return nil, eris.Wrap(err, "ask peer")
	}
	return stream.Read()
}

// mostAsked bounds how many peers one round asks: enough for Answers of them
// to answer though some are gone.
const mostAsked = 2 * Answers

// askPeers asks random peers for a revision of at least least, and takes the
// highest that they have. It returns how many answered, the highest revision
// among them, and whether that came into force.
func (watcher *Watcher) askPeers(ctx context.Context, least uint64) (answered int, highest uint64, found bool) {
	for _, address := range watcher.somePeers() {
		if answered >= Answers {
			break
		}
		body, err := watcher.settings.Ask(ctx, address, max(least, highest))
		if err != nil {
			continue
		}
		answered++
		highest = max(highest, body.GetRevision())
		if body.GetRevision() < least || len(body.GetBody()) == 0 {
			continue
		}
		accepted := Accepted{
			Head: Head{Revision: body.GetRevision(), Hash: body.GetHash(), ChangeID: body.GetChangeId()},
			Body: body.GetBody(),
		}
		if err := watcher.take(accepted, address); err != nil {
			watcher.settings.Log.WithError(err).WithField("peer", address).Warn("a peer's configuration was refused")
			continue
		}
		found = true
	}
	return answered, highest, found
}

func (watcher *Watcher) somePeers() []string {
	peers := append([]string(nil), watcher.settings.Peers()...)
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.draws.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(mostAsked, len(peers))]
}
