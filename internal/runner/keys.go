package runner

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// keys joins the book of claims with the store and the mint. The book is
// guarded by Agent.mu, so that a claim, a tombstone and a start are one
// decision each.
type keys struct {
	book      *claimer.Book
	committer *claimer.Committer
	mint      *minter.Mint
	// owners is whom refused requests are to be led to, by request.
	owners map[string]claimer.Owner
}

func newKeys(settings Settings) *keys {
	return &keys{
		book:      claimer.NewBook(claimer.Settings{Name: settings.Name, Incarnation: settings.Incarnation}),
		committer: claimer.NewCommitter(settings.Table, settings.Clock.Now),
		mint:      minter.New(settings.Name, settings.Incarnation, 0),
		owners:    map[string]claimer.Owner{},
	}
}

// keyed reports whether the call may run only once for its key.
func keyed(offer *encoder.Offer) bool {
	return offer.GetKey() != "" && !offer.GetIdempotent()
}

// askOf returns the ask of a keyed offer, or why its key is not sound.
func (keys *keys) askOf(offer *encoder.Offer) (claimer.Claim, classifier.Failure, bool) {
	ask := claimer.Claim{
		Key:         claimer.RowKey(offer.GetTeam(), offer.GetService(), offer.GetKey()),
		Request:     offer.GetRequestId(),
		Fingerprint: offer.GetFingerprint(),
	}
	if len(offer.GetKey()) < len(minter.Prefix) || offer.GetKey()[:len(minter.Prefix)] != minter.Prefix {
		return ask, classifier.Failure{}, true
	}
	expires, failure, ok := keys.mint.Check(offer.GetTeam(), offer.GetService(), offer.GetKey())
	ask.Minted, ask.Expires = true, expires
	return ask, failure, ok
}

// bound refuses an offer whose key is bound already, before it waits for a
// slot; Agent.mu must be held.
func (agent *Agent) bound(offer *encoder.Offer) (classifier.Failure, bool) {
	if !keyed(offer) {
		return classifier.Failure{}, false
	}
	ask, failure, ok := agent.keys.askOf(offer)
	if !ok {
		return failure, true
	}
	verdict, refused := agent.keys.book.Check(ask)
	if !refused {
		return classifier.Failure{}, false
	}
	agent.leadTo(ask.Request, verdict)
	return verdict.Failure, true
}

func (agent *Agent) leadTo(request string, verdict claimer.Verdict) {
	if verdict.Owner.Agent != "" {
		agent.keys.owners[request] = verdict.Owner
	}
}

// claim binds the key of an offer that holds a slot to this incarnation. It
// returns false when the call must not run here. The claim stands before the
// grant, so that until the Run frame is sent nothing has run.
func (agent *Agent) claim(ctx context.Context, offer *encoder.Offer) (classifier.Failure, bool) {
	if !keyed(offer) {
		return classifier.Failure{}, true
	}
	ask, failure, ok := agent.keys.askOf(offer)
	if !ok {
		return failure, false
	}
	verdict := agent.ask(ask)
	if verdict.Step == claimer.Insert {
		result := agent.keys.committer.Claim(ctx, verdict.Row)
		verdict = agent.settle(ask, result)
	}
	if verdict.Step != claimer.Proceed {
		return verdict.Failure, false
	}
	agent.settings.Record(agent.event(recorder.Claimed, offer))
	return classifier.Failure{}, true
}

func (agent *Agent) ask(ask claimer.Claim) claimer.Verdict {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	now := agent.settings.Clock.Now()
	if ask.Minted && !now.Before(ask.Expires) {
		// Its page may be gone, so whether it ran before is not known here.
		return claimer.Verdict{Step: claimer.Refuse, Failure: classifier.New(classifier.KeyExpired, "")}
	}
	verdict := agent.keys.book.Claim(ask, now)
	agent.leadTo(ask.Request, verdict)
	return verdict
}

func (agent *Agent) settle(ask claimer.Claim, result claimer.Result) claimer.Verdict {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	verdict := agent.keys.book.Resolve(ask, result)
	agent.leadTo(ask.Request, verdict)
	return verdict
}

// mayStart reports whether a committed call may go to the upstream; Agent.mu
// must be held. For a keyed call it answers true once for each key.
func (agent *Agent) mayStart(offer *encoder.Offer) bool {
	return !keyed(offer) || agent.keys.book.Start(offer.GetRequestId(), agent.settings.Clock.Now())
}

// endKey notes the end of a run for its key; Agent.mu must be held.
func (agent *Agent) endKey(ended *run) {
	end := ended.answer.End()
	agent.keys.book.End(ended.id, end.GetComplete(), end.GetDigest())
}

// lead adds to a refusal whom the key is bound to.
func (agent *Agent) lead(refused *encoder.Refused) *encoder.Refused {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if owner, ok := agent.keys.owners[refused.GetRequestId()]; ok {
		delete(agent.keys.owners, refused.GetRequestId())
		refused.Owner = owner.Agent
		refused.OwnerIncarnation = owner.Incarnation
		refused.OwnerRequest = owner.Request
	}
	return refused
}

// serveMint makes keys that only this incarnation will run. A draining agent
// makes none: they would expire with it.
func (agent *Agent) serveMint(stream *encoder.Stream, ask *encoder.MintAsk) {
	agent.mu.Lock()
	draining := agent.draining
	agent.mu.Unlock()
	switch {
	case draining:
		_ = stream.Write(encoder.Of(&encoder.Minted{Kind: classifier.Draining.String()}))
	case ask.GetService() != agent.settings.Service:
		_ = stream.Write(encoder.Of(&encoder.Minted{Kind: classifier.WrongService.String()}))
	default:
		keys, expires := agent.keys.mint.Make(ask.GetTeam(), ask.GetService(), int(ask.GetCount()), agent.settings.Clock.Now())
		_ = stream.Write(encoder.Of(&encoder.Minted{Keys: keys, Expires: int64(expires)}))
	}
}

const (
	// markEvery is the time between two writes that mark runs as done. Marks
	// are not urgent: they matter once the owner is gone.
	markEvery = 10 * timekeeper.Second
	// mostMarks bounds one such write, and so the reads before it: 6 a second
	// for each agent, which covers the design size many times over.
	mostMarks = 64
	// sweepEvery is the mean time between two sweeps of expired claims, and
	// sweepRows how many rows each looks at. With 500 agents that is 533 rows
	// a second, ten times the claims made a second at the design size, for
	// nine reads a second.
	sweepEvery = timekeeper.Minute
	sweepRows  = 64
)

// Keep writes claims and looks after the agent's rows until ctx ends.
func (agent *Agent) Keep(ctx context.Context) {
	go agent.settings.Clock.Every(ctx, func() timekeeper.Span { return probeEvery }, agent.probe)
	if agent.settings.Table.Commit == nil {
		<-ctx.Done()
		return
	}
	go agent.settings.Clock.Every(ctx, func() timekeeper.Span { return markEvery }, agent.mark)
	go agent.settings.Clock.Every(ctx, agent.sweepPause, agent.sweep)
	agent.keys.committer.Run(ctx)
}

func (agent *Agent) mark(ctx context.Context) {
	agent.mu.Lock()
	rows := agent.keys.book.TakeCompleted(mostMarks)
	agent.mu.Unlock()
	if err := agent.keys.committer.Mark(ctx, rows); err != nil {
		agent.settings.Log.WithError(err).WithField("rows", len(rows)).Info("runs not marked as done")
	}
}

// draw returns a pseudo-random number from the incarnation and the time, which
// keeps agents that started together from acting together.
func (agent *Agent) draw() uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(agent.settings.Incarnation)
	_, _ = digest.WriteString(agent.settings.Clock.Now().String())
	return digest.Sum64()
}

func (agent *Agent) sweepPause() timekeeper.Span {
	return sweepEvery/2 + timekeeper.Span(agent.draw()%uint64(sweepEvery))
}

// sweep looks at a stretch of rows at a random place. Agents don't agree on
// who sweeps what; a row that two of them delete at once is deleted once.
func (agent *Agent) sweep(ctx context.Context) {
	agent.mu.Lock()
	claims := agent.keys.book.Len()
	agent.mu.Unlock()
	if claims == 0 {
		// Whoever makes claims clears them away: the many agents of model
		// engines make none, and would cost the store a read each.
		return
	}
	after := claimer.RowKey("", "", agent.settings.Clock.Now().String()+agent.settings.Name)
	count, err := agent.keys.committer.Sweep(ctx, after, sweepRows)
	if err != nil && !eris.Is(err, storekeeper.ErrConflict) {
		agent.settings.Log.WithError(err).Info("claims not swept")
		return
	}
	agent.settings.Scope.Counter("claims-swept").Inc(int64(count))
}
