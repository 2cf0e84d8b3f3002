package runner

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// fetches reports whether prefixes can come from other replicas; the lock must
// be held.
func (agent *Agent) fetches() bool {
	return agent.settings.Open != nil && agent.settings.Peers != nil && agent.upstream.service.CachePath != ""
}

// fetchShare is the part of a call's time to its first byte that fetching may
// take: a call that fetched in vain still has time to read its prompt.
const fetchShare = 4

// fetch brings the prefix of an admitted offer here while the offer waits for
// its slot; the channel closes when it is here or the time for it has passed.
// The load is a replica that joined, or a home at its bound: the harm is a long
// prompt that is computed again though it lies cached at a neighbour. A failure
// costs the span of the limit and a cold prefix, and never the call.
func (agent *Agent) fetch(ctx context.Context, offer *encoder.Offer, arrived timekeeper.Instant) <-chan struct{} {
	done := make(chan struct{})
	agent.mu.Lock()
	source, longest := "", agent.service.FetchTimeout
	if agent.fetches() {
		source = agent.places.FetchSource(agent.visit(offer, arrived))
	}
	agent.mu.Unlock()
	if deadline := timekeeper.Span(offer.GetDeadline()); deadline > 0 {
		longest = min(longest, deadline/fetchShare)
	}
	end, free := agent.beginTransfer()
	if source == "" || !free {
		end()
		close(done)
		return done
	}
	agent.calls.Go(func() {
		defer close(done)
		defer end()
		ctx, cancel := context.WithTimeout(ctx, longest.Duration())
		defer cancel()
		home := len(offer.GetCandidates()) > 0 && offer.GetCandidates()[0] == agent.settings.Name
		from, err := agent.fetchFrom(ctx, source, offer.GetChat(), home)
		agent.logFetch(offer, from, err)
	})
	return done
}

// fetchFrom asks the source, and once the replica that it points to. A home
// has the prefix released elsewhere; a replica that a chat spilled to copies it.
func (agent *Agent) fetchFrom(ctx context.Context, source string, chat uint64, home bool) (string, error) {
	ask := &encoder.PrefixAsk{Chat: chat, Service: agent.settings.Service, Release: home, Asker: agent.settings.Name}
	body, err := agent.askPrefix(ctx, source, ask)
	if err == nil && body.GetKind() != "" && body.GetWhere() != "" && body.GetWhere() != agent.settings.Name {
		source = body.GetWhere()
		body, err = agent.askPrefix(ctx, source, ask)
	}
	if err != nil {
		return source, err
	}
	if body.GetKind() != "" {
		return source, errNoPrefix
	}
	if err := agent.upstream.importPrefix(ctx, body.GetBody()); err != nil {
		return source, err
	}
	agent.noteChat(chat, body.GetTokens())
	return source, nil
}

// askPrefix asks a replica for the prefix of a chat.
func (agent *Agent) askPrefix(ctx context.Context, name string, ask *encoder.PrefixAsk) (*encoder.PrefixBody, error) {
	replica, ok := agent.settings.Peers().Find(name)
	if !ok {
		return nil, errNoPeer
	}
	frame, err := agent.askPeer(ctx, replica, ask)
	if err != nil {
		return nil, err
	}
	return frame.GetPrefixBody(), nil
}

var errNoPeer = eris.New("no such replica in the service")

// askPeer sends a replica a message and reads its answer, until ctx ends.
func (agent *Agent) askPeer(ctx context.Context, replica placer.Replica, message any) (*encoder.Frame, error) {
	conn, err := agent.settings.Open(ctx, replica.Address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	stream := encoder.NewStream(conn)
	if err := stream.Write(encoder.Of(message)); err != nil {
		return nil, err
	}
	return stream.Read()
}

func (agent *Agent) logFetch(offer *encoder.Offer, from string, err error) {
	outcome := "fetched"
	if err != nil {
		outcome = "cold"
	}
	fields := logrus.Fields{
		"request-id": offer.GetRequestId(), "chat": offer.GetChat(), "upstream": from, "outcome": outcome,
	}
	if err != nil {
		fields["reason"] = err.Error()
	}
	agent.settings.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("fetches").Inc(1)
	agent.settings.Log.WithFields(fields).Info("fetch")
}
