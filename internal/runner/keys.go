package runner

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// keys combines the book of claims with the store and the mint. Agent.mu guards the book,
// so that a claim, a tombstone and a start are each atomic.
type keys struct {
	book      *claimer.Book
	committer *claimer.Committer
	mint      *minter.Mint
	// owners holds the owner of the key for each refused request, by request id.
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

// keyed reports whether the offer has a key under which it may run only once.
func keyed(offer *encoder.Offer) bool {
	return offer.GetKey() != "" && !offer.GetIdempotent()
}

// newClaim returns the claim of a keyed offer, or a failure when its key is invalid.
func (keys *keys) newClaim(offer *encoder.Offer) (claimer.Claim, classifier.Failure, bool) {
	claim := claimer.Claim{
		Key:         claimer.RowKey(offer.GetTeam(), offer.GetService(), offer.GetKey()),
		Request:     offer.GetRequestId(),
		Fingerprint: offer.GetFingerprint(),
	}
	if len(offer.GetKey()) < len(minter.Prefix) || offer.GetKey()[:len(minter.Prefix)] != minter.Prefix {
		return claim, classifier.Failure{}, true
	}
	expires, failure, ok := keys.mint.Check(offer.GetTeam(), offer.GetService(), offer.GetKey())
	claim.Minted, claim.Expires = true, expires
	return claim, failure, ok
}

// checkKey refuses an offer whose key is already bound, before it waits for a slot;
// Agent.mu must be held.
func (agent *Agent) checkKey(offer *encoder.Offer) (classifier.Failure, bool) {
	if !keyed(offer) {
		return classifier.Failure{}, false
	}
	claim, failure, ok := agent.keys.newClaim(offer)
	if !ok {
		return failure, true
	}
	verdict, refused := agent.keys.book.Check(claim)
	if !refused {
		// The call would wait for its slot in vain.
		left := agent.keys.committer.HeldFor()
		return claimer.HeldFailure(left), left > 0 && !claim.Minted
	}
	agent.recordOwner(claim.Request, verdict)
	return verdict.Failure, true
}

func (agent *Agent) recordOwner(request string, verdict claimer.Verdict) {
	if verdict.Owner.Agent != "" {
		agent.keys.owners[request] = verdict.Owner
	}
}

// claim binds the key of an offer that holds a slot to this incarnation. It returns false
// when the call must not run here. The claim is made before the grant, so nothing has run
// until the Run frame is sent.
func (agent *Agent) claim(ctx context.Context, offer *encoder.Offer) (classifier.Failure, bool) {
	if !keyed(offer) {
		return classifier.Failure{}, true
	}
	claim, failure, ok := agent.keys.newClaim(offer)
	if !ok {
		return failure, false
	}
	verdict := agent.decideClaim(claim)
	if verdict.Step == claimer.Insert {
		result := agent.keys.committer.Claim(ctx, verdict.Row)
		verdict = agent.resolveClaim(claim, result)
	}
	if verdict.Step != claimer.Proceed {
		return verdict.Failure, false
	}
	agent.settings.Record(agent.event(recorder.Claimed, offer))
	return classifier.Failure{}, true
}

func (agent *Agent) decideClaim(claim claimer.Claim) claimer.Verdict {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if existing := agent.runs[claim.Request]; existing != nil {
		// A tombstone was left while the offer waited.
		return claimer.Verdict{Step: claimer.Refuse, Failure: existing.duplicateFailure()}
	}
	now := agent.settings.Clock.Now()
	if claim.Minted && !now.Before(claim.Expires) {
		// The book may have dropped the key, so whether it has run is unknown here.
		return claimer.Verdict{Step: claimer.Refuse, Failure: classifier.New(classifier.KeyExpired, "")}
	}
	verdict := agent.keys.book.Claim(claim, now)
	agent.recordOwner(claim.Request, verdict)
	return verdict
}

func (agent *Agent) resolveClaim(claim claimer.Claim, result claimer.Result) claimer.Verdict {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	verdict := agent.keys.book.Resolve(claim, result)
	agent.recordOwner(claim.Request, verdict)
	return verdict
}

// mayStart reports whether a committed call may go to the upstream; Agent.mu must be held.
// For a keyed call it returns true at most once for each key, unless RevertStart undoes the
// start; for any other call it always returns true.
func (agent *Agent) mayStart(offer *encoder.Offer) bool {
	return !keyed(offer) || agent.keys.book.Start(offer.GetRequestId(), agent.settings.Clock.Now())
}

// endKey records the end of a run for its key; Agent.mu must be held.
func (agent *Agent) endKey(ended *run) {
	end := ended.answer.End()
	agent.keys.book.End(ended.id, end.GetComplete(), end.GetDigest())
}

// addOwner adds the key's owner to a refusal.
func (agent *Agent) addOwner(refused *encoder.Refused) *encoder.Refused {
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

// serveMint mints keys that only this incarnation can run. A draining agent mints none,
// since they would expire when it stops.
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
	// markInterval is the time between two writes that mark runs as done. Marks are not
	// urgent: they are only read after the owner has stopped.
	markInterval = 10 * timekeeper.Second
	// maxMarks bounds the marks of one write, and so the reads that precede it: 6 a second
	// for each agent, many times what the design size needs.
	maxMarks = 64
	// sweepInterval is the mean time between two sweeps of expired claims, and sweepRows
	// how many rows each sweep reads. With 500 agents that is 533 rows a second, ten times
	// the claims made a second at the design size, for nine reads a second.
	sweepInterval = timekeeper.Minute
	sweepRows     = 64
)

// Maintain probes the upstream while it is down and, if there is a table, writes claims,
// marks ended runs and sweeps rows, until ctx ends.
func (agent *Agent) Maintain(ctx context.Context) {
	go agent.settings.Clock.Every(ctx, func() timekeeper.Span { return probeInterval }, agent.probe)
	if agent.settings.Table.Commit == nil {
		<-ctx.Done()
		return
	}
	go agent.settings.Clock.Every(ctx, func() timekeeper.Span { return markInterval }, agent.markDone)
	go agent.settings.Clock.Every(ctx, agent.sweepDelay, agent.sweep)
	go agent.settings.Clock.Every(ctx, func() timekeeper.Span { return claimer.RestoreInterval }, agent.restoreClaims)
	agent.keys.committer.Run(ctx)
}

// restoreClaims writes claims again that the store may have lost, if it came back from a copy.
// An agent whose claims are all old enough to be in each copy asks nothing.
func (agent *Agent) restoreClaims(ctx context.Context) {
	agent.mu.Lock()
	recent := agent.keys.book.HasRecent(agent.settings.Clock.Now())
	agent.mu.Unlock()
	if !recent && !agent.keys.committer.NeedsRestore() {
		return
	}
	rows, results, err := agent.keys.committer.Restore(ctx, func(since, before timekeeper.Instant) []claimer.Row {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return agent.keys.book.RecentClaims(since, before)
	})
	if err != nil {
		agent.settings.Log.WithError(err).Info("store not asked for its era")
		return
	}
	if len(rows) == 0 {
		return
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for i, row := range rows {
		if !agent.keys.book.Restored(row, results[i]) {
			agent.settings.Log.WithFields(logrus.Fields{
				"request-id": row.Owner.Request, "owner": results[i].Row.Owner.Agent, "owner-request": results[i].Row.Owner.Request,
			}).Error("key was claimed by another request while the store lacked its claim")
		}
	}
	counts := claimer.CountRestored(results)
	agent.settings.Log.WithFields(logrus.Fields{
		"written": counts.Written, "taken": counts.Taken, "open": counts.Open,
	}).Info("claims written again after the store came back from a copy")
}

func (agent *Agent) markDone(ctx context.Context) {
	agent.mu.Lock()
	rows := agent.keys.book.TakeCompleted(maxMarks)
	agent.mu.Unlock()
	if err := agent.keys.committer.Mark(ctx, rows); err != nil {
		agent.settings.Log.WithError(err).WithField("rows", len(rows)).Info("runs not marked as done")
	}
}

// random returns a pseudo-random number from the incarnation and the time, so that agents
// that started together don't act at the same time.
func (agent *Agent) random() uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(agent.settings.Incarnation)
	_, _ = digest.WriteString(agent.settings.Clock.Now().String())
	return digest.Sum64()
}

// sweepDelay returns the jittered time to the next sweep.
func (agent *Agent) sweepDelay() timekeeper.Span {
	return sweepInterval/2 + timekeeper.Span(agent.random()%uint64(sweepInterval))
}

// sweep deletes the expired claims among sweepRows rows that start at a random position.
// Agents don't coordinate sweeps; a row that two agents delete at once is deleted once.
func (agent *Agent) sweep(ctx context.Context) {
	agent.mu.Lock()
	claims := agent.keys.book.Len()
	agent.mu.Unlock()
	if claims == 0 {
		// Only agents that make claims sweep: the many agents of model engines make none,
		// and each would cost the store a read.
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
