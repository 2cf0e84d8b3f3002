package publisher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings set up a watcher. Platform, Clock and Log must be set.
type Settings struct {
	Platform storekeeper.Platform
	Clock    timekeeper.Clock
	Log      logrus.FieldLogger
	Site     string
	// Seed seeds the jitter and the choice of peers of this process.
	Seed uint64
	// Peers returns the addresses of processes that may have the configuration; nil means
	// that none are known.
	Peers func() []string
	// Ask requests a peer's configuration; nil means that no peer is asked.
	Ask func(ctx context.Context, address string, minRevision uint64) (*encoder.ConfigBody, error)
	// Record receives an event for each revision that comes into force; nil means that
	// events are dropped.
	Record func(event recorder.Event)
}

// Watcher keeps a process at the newest accepted configuration. Current, Status,
// ReceiveRevision and Answer are safe for concurrent use; one goroutine runs Await and
// then Run.
type Watcher struct {
	settings Settings
	wakeUp   chan struct{}
	current  atomic.Pointer[resolver.Config]

	mu       sync.Mutex
	state    RevisionState
	accepted Accepted
	random   *rand.Rand
}

// NewWatcher returns a watcher that has no configuration yet.
func NewWatcher(settings Settings) *Watcher {
	if settings.Peers == nil || settings.Ask == nil {
		settings.Peers = func() []string { return nil }
	}
	if settings.Record == nil {
		settings.Record = recorder.Discard
	}
	return &Watcher{
		settings: settings,
		wakeUp:   make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
	}
}

// Status is the state of a process's configuration.
type Status struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	// HighestKnown is the highest revision that the process knows of.
	HighestKnown uint64 `json:"heard"`
	// Behind is how long it has known of a revision above its own.
	Behind timekeeper.Span `json:"behind"`
	// StoreUnresponsive is how long the store has not answered.
	StoreUnresponsive timekeeper.Span `json:"store-silent"`
}

// Current returns the configuration in force; its revision is zero if there is none
// yet.
func (watcher *Watcher) Current() resolver.Config {
	if config := watcher.current.Load(); config != nil {
		return *config
	}
	return resolver.Config{}
}

// Status returns the state of the process's configuration.
func (watcher *Watcher) Status() Status {
	now := watcher.settings.Clock.Now()
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	status := Status{
		Revision:     watcher.state.InForce,
		Hash:         watcher.accepted.Hash,
		HighestKnown: watcher.state.HighestKnown,
		Behind:       watcher.state.Behind(now),
	}
	if watcher.state.StoreFailures > 0 && watcher.state.StoreAnsweredAt > 0 {
		status.StoreUnresponsive = now.Since(watcher.state.StoreAnsweredAt)
	}
	return status
}

// ReceiveRevision records a revision that came with a peer's message.
func (watcher *Watcher) ReceiveRevision(revision uint64) {
	now := watcher.settings.Clock.Now()
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	state, changed := watcher.state.ReceiveRevision(revision, now)
	watcher.state = state
	if !changed {
		return
	}
	select {
	case watcher.wakeUp <- struct{}{}:
	default:
	}
}

// Answer returns the configuration for a peer that asks, without the body if its
// revision is below the one that the peer wants.
func (watcher *Watcher) Answer(ask *encoder.ConfigAsk) *encoder.ConfigBody {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	head := watcher.accepted.Head
	body := &encoder.ConfigBody{Revision: head.Revision, Hash: head.Hash, ChangeId: head.ChangeID, Heard: watcher.state.HighestKnown}
	if head.Revision >= ask.GetLeast() {
		body.Body = watcher.accepted.Body
	}
	return body
}

// Poll reads the head once and brings a higher revision into force. If the store
// doesn't answer, it asks peers instead.
func (watcher *Watcher) Poll(ctx context.Context) error {
	head, _, err := ReadHead(ctx, watcher.settings.Platform)
	if err != nil {
		watcher.update(RevisionState.RecordStoreFailure)
		if _, _, found := watcher.askPeers(ctx, watcher.Current().Revision+1, MinAnswers); found {
			return nil
		}
		return err
	}
	now := watcher.settings.Clock.Now()
	bodyWanted := false
	watcher.update(func(state RevisionState) RevisionState {
		state, bodyWanted = state.RecordHead(head.Revision, now)
		return state
	})
	if !bodyWanted {
		return nil
	}
	accepted, err := FetchBody(ctx, watcher.settings.Platform, head)
	if err == nil {
		return watcher.activate(accepted, "store")
	}
	if _, _, found := watcher.askPeers(ctx, head.Revision, MinAnswers); found {
		return nil
	}
	return err
}

func (watcher *Watcher) update(change func(state RevisionState) RevisionState) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.state = change(watcher.state)
}

// activate brings an accepted configuration into force if its revision is higher.
func (watcher *Watcher) activate(accepted Accepted, from string) error {
	config, err := accepted.Resolve(watcher.settings.Site)
	if err != nil {
		return err
	}
	watcher.mu.Lock()
	before := watcher.state.InForce
	state, ok := watcher.state.Activate(accepted.Revision)
	if ok {
		watcher.state, watcher.accepted = state, accepted
		watcher.current.Store(&config)
	}
	watcher.mu.Unlock()
	if !ok {
		return nil
	}
	watcher.settings.Record(recorder.Event{
		At: watcher.settings.Clock.Now(), Kind: recorder.InForce, Revision: accepted.Revision, Detail: accepted.Hash,
	})
	fields := logrus.Fields{"revision": accepted.Revision, "before": before, "from": from}
	watcher.settings.Log.WithFields(fields).Info("configuration in force")
	return nil
}

// drawDelay returns the delay that rule gives for the poll interval and a random draw.
func (watcher *Watcher) drawDelay(rule func(state RevisionState, interval timekeeper.Span, draw float64) timekeeper.Span) timekeeper.Span {
	interval := watcher.Current().Limits.WithDefaults().PollInterval
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return rule(watcher.state, interval, watcher.random.Float64())
}

// Run polls until ctx ends: at the poll interval, and soon after a peer sent a higher
// revision.
func (watcher *Watcher) Run(ctx context.Context) {
	for watcher.waitForPoll(ctx) == nil {
		if err := watcher.Poll(ctx); err != nil {
			watcher.settings.Log.WithError(err).Warn("configuration not read")
		}
	}
}

// waitForPoll waits until the next poll is due; it returns an error if ctx ends first.
func (watcher *Watcher) waitForPoll(ctx context.Context) error {
	fired, release := watcher.settings.Clock.After(watcher.drawDelay(RevisionState.PollDelay))
	defer release()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-watcher.wakeUp:
		return watcher.settings.Clock.Sleep(ctx, watcher.drawDelay(RevisionState.EarlyPollDelay))
	}
}

// Await polls until the process may serve, or returns the error of ctx. It may serve
// with the store's head or, if the store doesn't answer, with the highest revision of
// several peers.
func (watcher *Watcher) Await(ctx context.Context) error {
	const pause = 200 * timekeeper.Millisecond
	var start StartupState
	for {
		if watcher.tryStart(ctx, &start) {
			return nil
		}
		if watcher.settings.Clock.Sleep(ctx, pause+watcher.drawDelay(RevisionState.EarlyPollDelay)/2) != nil {
			return eris.Wrap(ctx.Err(), "no configuration was found: the store gives no answer, and too few peers do")
		}
	}
}

func (watcher *Watcher) tryStart(ctx context.Context, start *StartupState) bool {
	head, _, err := ReadHead(ctx, watcher.settings.Platform)
	if err == nil {
		return head.Revision > 0 && watcher.Poll(ctx) == nil && watcher.Current().Revision >= head.Revision
	}
	answered, highest, _ := watcher.askPeers(ctx, watcher.Current().Revision+1, MaxStartupPeers)
	known := len(watcher.settings.Peers())
	now := watcher.settings.Clock.Now()
	*start = start.WithRound(known, answered, max(highest, watcher.Current().Revision), now)
	revision, ready := start.Ready(now)
	return ready && watcher.Current().Revision >= revision
}
