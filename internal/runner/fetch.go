package runner

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// canFetch reports whether prefixes can be fetched from other replicas; Agent.mu must be
// held.
func (agent *Agent) canFetch() bool {
	return agent.settings.Open != nil && agent.settings.Replicas != nil && agent.upstream.service.CachePath != ""
}

// fetchDivisor limits a fetch to 1/fetchDivisor of the call's time to first byte, which
// leaves time for a full prefill of the prompt after a failed fetch.
const fetchDivisor = 4

// fetch gets the prefix of an admitted offer from another replica while the offer waits
// for its slot. The channel closes when the fetch has ended, successfully or not; at once if
// there is no source or maxTransfers are in progress. A fetch serves chats that come to a
// replica that has just joined, or that spill because their home is at its bound: without
// it, a long prompt is computed again although another replica has it cached. A failed
// fetch costs at most the timeout and a full prefill of the prompt, and never fails the
// call.
func (agent *Agent) fetch(ctx context.Context, offer *encoder.Offer, arrived timekeeper.Instant) <-chan struct{} {
	done := make(chan struct{})
	agent.mu.Lock()
	source, timeout := "", agent.service.FetchTimeout
	if agent.canFetch() {
		source = agent.directory.FetchSource(agent.chatOffer(offer, arrived))
	}
	agent.mu.Unlock()
	if deadline := timekeeper.Span(offer.GetDeadline()); deadline > 0 {
		timeout = min(timeout, deadline/fetchDivisor)
	}
	release, acquired := agent.acquireTransfer()
	if source == "" || !acquired {
		release()
		close(done)
		return done
	}
	agent.calls.Go(func() {
		defer close(done)
		defer release()
		ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		home := len(offer.GetCandidates()) > 0 && offer.GetCandidates()[0] == agent.settings.Name
		from, err := agent.fetchFrom(ctx, source, offer.GetChat(), home)
		agent.logFetch(offer, from, err)
	})
	return done
}

// fetchFrom requests the prefix from source and, if source names another holder, once from
// that one. When this replica is the chat's home, the holder releases its copy; a replica
// that the chat spilled to only copies it.
func (agent *Agent) fetchFrom(ctx context.Context, source string, chat uint64, home bool) (string, error) {
	ask := &encoder.PrefixAsk{Chat: chat, Service: agent.settings.Service, Release: home, Asker: agent.settings.Name}
	body, err := agent.requestPrefix(ctx, source, ask)
	if err == nil && body.GetKind() != "" && body.GetWhere() != "" && body.GetWhere() != agent.settings.Name {
		source = body.GetWhere()
		body, err = agent.requestPrefix(ctx, source, ask)
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
	agent.recordChat(chat, body.GetTokens())
	return source, nil
}

// requestPrefix requests the prefix of a chat from a replica.
func (agent *Agent) requestPrefix(ctx context.Context, name string, ask *encoder.PrefixAsk) (*encoder.PrefixBody, error) {
	replica, ok := agent.settings.Replicas().Find(name)
	if !ok {
		return nil, errUnknownReplica
	}
	frame, err := agent.callReplica(ctx, replica, ask)
	if err != nil {
		return nil, err
	}
	return frame.GetPrefixBody(), nil
}

var errUnknownReplica = eris.New("the source of the prefix is not among the service's replicas")

// callReplica sends a message to a replica and reads its answer, until ctx ends.
func (agent *Agent) callReplica(ctx context.Context, replica placer.Replica, message any) (*encoder.Frame, error) {
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
