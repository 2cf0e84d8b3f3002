package runner

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/internal/striker"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// gateTimeout bounds the wait until the engine is empty, or until a request that runs
	// in isolation has ended. After it, the caller is better served by another replica.
	gateTimeout = 10 * timekeeper.Second
	// probeInterval is the time between two probes of an engine that is down, and
	// probeTimeout bounds each.
	probeInterval = 100 * timekeeper.Millisecond
	probeTimeout  = timekeeper.Second
	// missingTerminal is the detail of a stream that ended without an error but too early.
	missingTerminal = "the stream ended without its terminal"
)

// strikes combines the ledger of strikes with the gate and the shared table. Agent.mu
// guards the ledger and the gate.
type strikes struct {
	ledger      *striker.Ledger
	gate        striker.Gate
	book        striker.Book
	gateChanged chan struct{}
	// entered holds the requests that the gate has let in; true if the request runs in
	// isolation.
	entered map[string]bool
	// raised holds requests whose second strike is written and that have not started, with
	// their fingerprints.
	raised map[string]uint64
}

func newStrikes(settings Settings) *strikes {
	return &strikes{
		ledger:      striker.NewLedger(settings.Name, 0),
		book:        striker.NewBook(settings.Table, settings.Clock.Now),
		gateChanged: make(chan struct{}),
		entered:     map[string]bool{},
		raised:      map[string]uint64{},
	}
}

// enterGate lets an offer that holds a slot onto the engine, in isolation if it has a
// strike. It returns false when the offer must not run here.
func (agent *Agent) enterGate(ctx context.Context, offer *encoder.Offer) (classifier.Failure, bool) {
	agent.mu.Lock()
	down := agent.strikes.ledger.Down()
	own := agent.strikes.ledger.Lookup(offer.GetFingerprint(), agent.settings.Clock.Now())
	agent.mu.Unlock()
	if down {
		return agent.engineDown(), false
	}
	if own.Count == 0 && offer.GetStrikes() == 0 {
		return agent.waitAtGate(ctx, offer.GetRequestId(), false)
	}
	strike, failure, ok := agent.resolveStrike(ctx, offer, own)
	if !ok {
		return failure, false
	}
	switch {
	case strike.Count >= striker.RefusalThreshold:
		return classifier.New(classifier.Struck, "until "+strike.Expires.String()), false
	case strike.Count < striker.IsolationThreshold:
		return agent.waitAtGate(ctx, offer.GetRequestId(), false)
	}
	return agent.isolate(ctx, offer, strike)
}

func (agent *Agent) engineDown() classifier.Failure {
	return classifier.New(classifier.NotReady, "the upstream does not answer").WithRetryAfter(timekeeper.Second)
}

// resolveStrike combines the strikes of a request from the table, the offer and this
// agent's ledger, and stores the result in the ledger. It returns false, with a failure,
// when the table can't be read. Few requests have strikes, so the cost of the read doesn't
// matter.
func (agent *Agent) resolveStrike(
	ctx context.Context, offer *encoder.Offer, own striker.Strike,
) (striker.Strike, classifier.Failure, bool) {
	row, _, found, err := agent.strikes.book.Read(ctx, offer.GetFingerprint())
	if err != nil {
		failure := classifier.New(classifier.StoreDown, "the request has a strike, and the record of strikes can't be read")
		return striker.Strike{}, failure.WithRetryAfter(2 * timekeeper.Second), false
	}
	strike := striker.Merge(own, row, found, int(offer.GetStrikes()))
	strike.Fingerprint, strike.Team, strike.Service = offer.GetFingerprint(), offer.GetTeam(), offer.GetService()
	if !found {
		strike.Expires = agent.settings.Clock.Now().Add(striker.DefaultLifetime)
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.strikes.ledger.Put(strike)
	return strike, classifier.Failure{}, true
}

// isolate waits until the engine is empty and writes the second strike before the request
// runs in isolation. So the strike remains even if the agent is lost together with its engine.
func (agent *Agent) isolate(ctx context.Context, offer *encoder.Offer, strike striker.Strike) (classifier.Failure, bool) {
	id := offer.GetRequestId()
	if failure, ok := agent.waitAtGate(ctx, id, true); !ok {
		return failure, false
	}
	raised := strike.WithCrash(agent.settings.Name, agent.settings.Clock.Now().Add(striker.DefaultLifetime))
	err := agent.strikes.book.Raise(ctx, raised)
	if err == nil {
		raised.Saved = true
		agent.mu.Lock()
		agent.strikes.ledger.Put(raised)
		agent.strikes.raised[id] = raised.Fingerprint
		agent.mu.Unlock()
		return classifier.Failure{}, true
	}
	agent.mu.Lock()
	agent.leaveGate(id)
	agent.mu.Unlock()
	if eris.Is(err, storekeeper.ErrConflict) {
		return classifier.New(classifier.Struck, "it runs alone elsewhere, or has crashed an upstream there"), false
	}
	return classifier.New(classifier.StoreDown, "the strike could not be written").WithRetryAfter(2 * timekeeper.Second), false
}

// waitAtGate waits until the gate lets the request in, in isolation or beside others. It
// returns false, with a failure, when the engine is down, gateTimeout passes, ctx ends, or
// the request must be isolated while another one is or waits to be.
func (agent *Agent) waitAtGate(ctx context.Context, id string, isolated bool) (classifier.Failure, bool) {
	expired, stop := agent.settings.Clock.After(gateTimeout)
	defer stop()
	for {
		agent.mu.Lock()
		if agent.strikes.ledger.Down() {
			agent.leaveGate(id)
			agent.mu.Unlock()
			return agent.engineDown(), false
		}
		entered := agent.strikes.gate.Enter(id, isolated)
		if entered {
			agent.strikes.entered[id] = isolated
		}
		busy := isolated && agent.strikes.gate.Busy(id)
		gateChanged := agent.strikes.gateChanged
		agent.mu.Unlock()
		if entered {
			return classifier.Failure{}, true
		}
		if busy {
			return agent.refuseAtGate(id), false
		}
		select {
		case <-gateChanged:
		case <-expired:
			return agent.refuseAtGate(id), false
		case <-ctx.Done():
			_ = agent.refuseAtGate(id)
			return endedFailure(ctx, classifier.New(classifier.CallerGone, "")), false
		}
	}
}

// refuseAtGate removes a waiting request from the gate and returns the failure for its
// caller: another request runs in isolation.
func (agent *Agent) refuseAtGate(id string) classifier.Failure {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.leaveGate(id)
	return classifier.New(classifier.Overloaded, "a suspect request runs alone").WithRetryAfter(timekeeper.Second)
}

// leaveGate removes a request from the gate and wakes the waiting ones; Agent.mu must be
// held.
func (agent *Agent) leaveGate(id string) {
	_, entered := agent.strikes.entered[id]
	delete(agent.strikes.entered, id)
	agent.strikes.gate.Leave(id, entered)
	if fingerprint, ok := agent.strikes.raised[id]; ok {
		// The request never started, so the strike written in advance is withdrawn.
		delete(agent.strikes.raised, id)
		current := agent.strikes.ledger.Lookup(fingerprint, agent.settings.Clock.Now())
		current.Count = striker.IsolationThreshold
		agent.strikes.ledger.Put(current)
		go func() { _ = agent.strikes.book.Lower(context.Background(), fingerprint) }()
	}
	close(agent.strikes.gateChanged)
	agent.strikes.gateChanged = make(chan struct{})
}

// recordStart records that a run goes to the engine; Agent.mu must be held.
func (agent *Agent) recordStart(offer *encoder.Offer) {
	delete(agent.strikes.raised, offer.GetRequestId())
	agent.strikes.ledger.Begin(striker.Flight{
		Request:     offer.GetRequestId(),
		Fingerprint: offer.GetFingerprint(),
		Team:        offer.GetTeam(),
		Service:     offer.GetService(),
		Began:       agent.settings.Clock.Now(),
		Isolated:    agent.strikes.entered[offer.GetRequestId()],
	})
}

// recordOutcome updates strikes and claims by how a run ended, before the caller gets the
// end of its answer and before the slot is released.
func (agent *Agent) recordOutcome(ended *run, canceled, complete bool, failure classifier.Failure) {
	switch {
	case complete:
		agent.withdrawStrike(ended, true)
	case failure.Kind == classifier.NotReady:
		agent.mu.Lock()
		agent.strikes.ledger.MarkUnreachable(agent.settings.Clock.Now())
		agent.keys.book.RevertStart(ended.id)
		agent.mu.Unlock()
		agent.withdrawStrike(ended, false)
	case canceled || failure.Detail == missingTerminal:
		agent.withdrawStrike(ended, false)
	default:
		agent.recordCrash(ended)
	}
}

// strikeWriteTimeout bounds how long a caller's answer waits for a strike to be written or
// withdrawn; a slower store is treated as down.
const strikeWriteTimeout = 500 * timekeeper.Millisecond

// writeBeforeAnswer updates the table of strikes before the caller learns how its request
// ended. Otherwise the caller could resend at once, through any entry, before the table is
// up to date: a poison request would share its second engine with others, which are then
// struck twice and refused, or a harmless request would still be refused.
// Only requests with strikes get here, so no other answer is delayed.
func (agent *Agent) writeBeforeAnswer(write func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		write()
	}()
	expired, release := agent.settings.Clock.After(strikeWriteTimeout)
	defer release()
	select {
	case <-done:
	case <-expired:
	}
}

// withdrawStrike withdraws the strike of a request that ended without a crash.
func (agent *Agent) withdrawStrike(ended *run, complete bool) {
	agent.mu.Lock()
	flight, changed := agent.strikes.ledger.Ended(ended.id, complete)
	agent.mu.Unlock()
	if !changed {
		return
	}
	agent.writeBeforeAnswer(func() {
		var err error
		if complete {
			_, err = agent.strikes.book.Lift(context.Background(), flight.Fingerprint)
		} else {
			err = agent.strikes.book.Lower(context.Background(), flight.Fingerprint)
		}
		if err != nil {
			agent.settings.Log.WithError(err).Warn("strike not withdrawn from the table")
		}
	})
}

// recordCrash adds a strike to a request whose connection the engine broke.
func (agent *Agent) recordCrash(ended *run) {
	now := agent.settings.Clock.Now()
	agent.mu.Lock()
	strike, struck := agent.strikes.ledger.ConnectionBroke(ended.id, now)
	agent.mu.Unlock()
	if !struck {
		agent.withdrawStrike(ended, false)
		return
	}
	agent.settings.Log.WithField("request-id", ended.id).WithField("strikes", strike.Count).Warn("upstream crashed")
	agent.settings.Record(recorder.Event{
		At: now, Kind: recorder.Struck, Request: ended.id, Service: strike.Service, Team: strike.Team,
		Instance: agent.settings.Name, Incarnation: agent.settings.Incarnation,
		Fingerprint: strike.Fingerprint, Count: int64(strike.Count),
	})
	if strike.Saved {
		return
	}
	agent.writeBeforeAnswer(func() { agent.saveStrike(strike) })
}

func (agent *Agent) saveStrike(strike striker.Strike) {
	if err := agent.strikes.book.Add(context.Background(), strike, agent.settings.Name); err != nil {
		agent.settings.Log.WithError(err).Warn("strike not written to the table; only this agent counts it")
		return
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	current := agent.strikes.ledger.Lookup(strike.Fingerprint, agent.settings.Clock.Now())
	if current.Count == 0 {
		// The request has completed here while the row was written.
		go func() { _, _ = agent.strikes.book.Lift(context.Background(), strike.Fingerprint) }()
	}
	if current.Count == strike.Count {
		current.Saved = true
		agent.strikes.ledger.Put(current)
	}
}

// strikesFor returns the strikes of a request for a digest; Agent.mu must be held.
func (agent *Agent) strikesFor(fingerprint uint64) []*encoder.Strike {
	current := agent.strikes.ledger.Lookup(fingerprint, agent.settings.Clock.Now())
	if current.Count == 0 {
		return nil
	}
	return []*encoder.Strike{{
		Fingerprint: fingerprint, Count: uint32(current.Count), Expires: int64(current.Expires),
	}}
}

// probe checks whether an engine that was down answers again. Any HTTP answer counts,
// since not every upstream has a health endpoint.
func (agent *Agent) probe(ctx context.Context) {
	agent.mu.Lock()
	down := agent.strikes.ledger.Down()
	agent.mu.Unlock()
	if !down {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, agent.upstream.base+"/health", http.NoBody)
	if err != nil {
		return
	}
	response, err := agent.upstream.singleUse.RoundTrip(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.strikes.ledger.Recovered()
}

// sendFailure returns the failure of a request that got no response. If the connection
// could not be made, the request has not reached the upstream, so it did not run.
func sendFailure(err error) classifier.Failure {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return classifier.New(classifier.NotReady, "the upstream can't be reached")
	}
	return classifier.New(classifier.UpstreamBroken, err.Error())
}
