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
	// gateWait bounds the wait for an engine to be empty, or for the request
	// that has it alone. Past it the caller is better served elsewhere.
	gateWait = 10 * timekeeper.Second
	// probeEvery is the time between two looks at an engine that is away, and
	// probeTimeout bounds each.
	probeEvery   = 100 * timekeeper.Millisecond
	probeTimeout = timekeeper.Second
	// noTerminal is the detail of a stream that ended cleanly and too early.
	noTerminal = "the stream ended without its terminal"
)

// strikes joins the ledger of strikes with the gate and the shared table. The
// ledger and the gate are guarded by Agent.mu.
type strikes struct {
	ledger  *striker.Ledger
	gate    striker.Gate
	book    striker.Book
	changed chan struct{}
	// entered are the requests that the gate let in; true for one alone.
	entered map[string]bool
	// raised are requests whose second strike is written and that haven't begun.
	raised map[string]uint64
}

func newStrikes(settings Settings) *strikes {
	return &strikes{
		ledger:  striker.NewLedger(settings.Name, 0),
		book:    striker.NewBook(settings.Table, settings.Clock.Now),
		changed: make(chan struct{}),
		entered: map[string]bool{},
		raised:  map[string]uint64{},
	}
}

// enter lets an offer that holds a slot onto the engine, alone if it has a
// strike. It returns false when it must not run here.
func (agent *Agent) enter(ctx context.Context, offer *encoder.Offer) (classifier.Failure, bool) {
	agent.mu.Lock()
	down := agent.strikes.ledger.Down()
	own := agent.strikes.ledger.Lookup(offer.GetFingerprint(), agent.settings.Clock.Now())
	agent.mu.Unlock()
	if down {
		return agent.engineAway(), false
	}
	if own.Count == 0 && offer.GetStrikes() == 0 {
		return agent.passGate(ctx, offer.GetRequestId(), false)
	}
	strike, failure, ok := agent.weigh(ctx, offer, own)
	if !ok {
		return failure, false
	}
	switch {
	case strike.Count >= striker.RefusalThreshold:
		return classifier.New(classifier.Struck, "until "+strike.Expires.String()), false
	case strike.Count < striker.IsolationThreshold:
		return agent.passGate(ctx, offer.GetRequestId(), false)
	}
	return agent.isolate(ctx, offer, strike)
}

func (agent *Agent) engineAway() classifier.Failure {
	return classifier.New(classifier.NotReady, "the upstream does not answer").WithRetryAfter(timekeeper.Second)
}

// weigh asks the table about a request with strikes. It is rare, so the read
// costs nothing that counts.
func (agent *Agent) weigh(
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

// isolate waits until the engine is empty and writes the second strike before
// the request runs alone. An agent that is lost together with its engine has
// then left the verdict behind.
func (agent *Agent) isolate(ctx context.Context, offer *encoder.Offer, strike striker.Strike) (classifier.Failure, bool) {
	id := offer.GetRequestId()
	if failure, ok := agent.passGate(ctx, id, true); !ok {
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

// passGate waits at the gate.
func (agent *Agent) passGate(ctx context.Context, id string, alone bool) (classifier.Failure, bool) {
	late, stop := agent.settings.Clock.After(gateWait)
	defer stop()
	for {
		agent.mu.Lock()
		if agent.strikes.ledger.Down() {
			agent.leaveGate(id)
			agent.mu.Unlock()
			return agent.engineAway(), false
		}
		entered := agent.strikes.gate.Enter(id, alone)
		if entered {
			agent.strikes.entered[id] = alone
		}
		busy := alone && agent.strikes.gate.Busy(id)
		changed := agent.strikes.changed
		agent.mu.Unlock()
		if entered {
			return classifier.Failure{}, true
		}
		if busy {
			return agent.gateShut(id), false
		}
		select {
		case <-changed:
		case <-late:
			return agent.gateShut(id), false
		case <-ctx.Done():
			_ = agent.gateShut(id)
			return classifier.New(classifier.CallerGone, ""), false
		}
	}
}

// gateShut gives up waiting at the gate.
func (agent *Agent) gateShut(id string) classifier.Failure {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.leaveGate(id)
	return classifier.New(classifier.Overloaded, "a suspect request runs alone").WithRetryAfter(timekeeper.Second)
}

// leaveGate lets the next ones in; Agent.mu must be held.
func (agent *Agent) leaveGate(id string) {
	_, entered := agent.strikes.entered[id]
	delete(agent.strikes.entered, id)
	agent.strikes.gate.Leave(id, entered)
	if fingerprint, ok := agent.strikes.raised[id]; ok {
		// It never began, so it must not keep the strike that was written first.
		delete(agent.strikes.raised, id)
		known := agent.strikes.ledger.Lookup(fingerprint, agent.settings.Clock.Now())
		known.Count = striker.IsolationThreshold
		agent.strikes.ledger.Put(known)
		go func() { _ = agent.strikes.book.Lower(context.Background(), fingerprint) }()
	}
	close(agent.strikes.changed)
	agent.strikes.changed = make(chan struct{})
}

// takeOff notes that a run goes to the engine; Agent.mu must be held.
func (agent *Agent) takeOff(offer *encoder.Offer) {
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

// landed notes how a run ended, before the caller is told and before its slot
// is given to the next.
func (agent *Agent) landed(ended *run, canceled, whole bool, failure classifier.Failure) {
	switch {
	case whole:
		agent.cleared(ended, true)
	case failure.Kind == classifier.NotReady:
		agent.mu.Lock()
		agent.strikes.ledger.MarkUnreachable(agent.settings.Clock.Now())
		agent.keys.book.RevertStart(ended.id)
		agent.mu.Unlock()
		agent.cleared(ended, false)
	case canceled || failure.Detail == noTerminal:
		agent.cleared(ended, false)
	default:
		agent.broke(ended)
	}
}

// strikeWait bounds how long a caller's answer waits for a strike to be written
// or taken back; a store that is slower than that is treated as down.
const strikeWait = 500 * timekeeper.Millisecond

// beforeAnswer writes to the table of strikes before the caller is told how its
// request ended. The failure: the caller resends at once, through any entry, and
// the table doesn't know yet. The symptom: a bad request that shares its second
// engine with others, who are then struck twice and refused; or an innocent one
// that is still barred. Only requests with strikes come here, so no other answer
// waits.
func (agent *Agent) beforeAnswer(write func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		write()
	}()
	late, release := agent.settings.Clock.After(strikeWait)
	defer release()
	select {
	case <-done:
	case <-late:
	}
}

// cleared takes strikes back from a request that ended without a crash.
func (agent *Agent) cleared(ended *run, whole bool) {
	agent.mu.Lock()
	flight, changed := agent.strikes.ledger.Ended(ended.id, whole)
	agent.mu.Unlock()
	if !changed {
		return
	}
	agent.beforeAnswer(func() {
		var err error
		if whole {
			_, err = agent.strikes.book.Lift(context.Background(), flight.Fingerprint)
		} else {
			err = agent.strikes.book.Lower(context.Background(), flight.Fingerprint)
		}
		if err != nil {
			agent.settings.Log.WithError(err).Warn("strike not taken back")
		}
	})
}

// broke strikes a request whose connection the engine broke.
func (agent *Agent) broke(ended *run) {
	now := agent.settings.Clock.Now()
	agent.mu.Lock()
	strike, struck := agent.strikes.ledger.ConnectionBroke(ended.id, now)
	agent.mu.Unlock()
	if !struck {
		agent.cleared(ended, false)
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
	agent.beforeAnswer(func() { agent.saveStrike(strike) })
}

func (agent *Agent) saveStrike(strike striker.Strike) {
	if err := agent.strikes.book.Add(context.Background(), strike, agent.settings.Name); err != nil {
		agent.settings.Log.WithError(err).Warn("strike not saved; it counts at this agent alone")
		return
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	known := agent.strikes.ledger.Lookup(strike.Fingerprint, agent.settings.Clock.Now())
	if known.Count == 0 {
		// The request ran whole here while the row was written.
		go func() { _, _ = agent.strikes.book.Lift(context.Background(), strike.Fingerprint) }()
	}
	if known.Count == strike.Count {
		known.Saved = true
		agent.strikes.ledger.Put(known)
	}
}

// strikesOf returns the strikes of a request for a digest; Agent.mu must be held.
func (agent *Agent) strikesOf(fingerprint uint64) []*encoder.Strike {
	known := agent.strikes.ledger.Lookup(fingerprint, agent.settings.Clock.Now())
	if known.Count == 0 {
		return nil
	}
	return []*encoder.Strike{{
		Fingerprint: fingerprint, Count: uint32(known.Count), Expires: int64(known.Expires),
	}}
}

// probe looks whether an engine that was away answers again. Any HTTP answer
// will do: not every upstream has a page for its health.
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
	response, err := agent.upstream.fresh.RoundTrip(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.strikes.ledger.Recovered()
}

// failedToSend returns the failure of a request without a response. One whose
// connection could not be made has not reached the upstream, so it did not run.
func failedToSend(err error) classifier.Failure {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return classifier.New(classifier.NotReady, "the upstream can't be reached")
	}
	return classifier.New(classifier.UpstreamBroken, err.Error())
}
