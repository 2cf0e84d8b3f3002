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
	// Seed sets the jitter of this process apart from that of others.
	Seed uint64
	// Peers returns the addresses of processes that may hold the
	// configuration; nil means that none are known.
	Peers func() []string
	// Ask asks a peer for its configuration; nil means that none is asked.
	Ask func(ctx context.Context, address string, least uint64) (*encoder.ConfigBody, error)
	// Record takes an event for each revision in force; nil means it is dropped.
	Record func(event recorder.Event)
}

// Watcher keeps a process at the newest accepted configuration. Current,
// Status, Hear and Answer may be called from any goroutine; one goroutine
// runs Await and then Run.
type Watcher struct {
	settings Settings
	nudged   chan struct{}
	current  atomic.Pointer[resolver.Config]

	mu       sync.Mutex
	standing Standing
	accepted Accepted
	draws    *rand.Rand
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
		nudged:   make(chan struct{}, 1),
		draws:    rand.New(rand.NewPCG(settings.Seed, 1)),
	}
}

// Status is what a process says about its configuration.
type Status struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	// Heard is the highest revision that the process has heard of.
	Heard uint64 `json:"heard"`
	// Behind is for how long it has known that it lags.
	Behind timekeeper.Span `json:"behind"`
	// StoreSilent is how long the store has not answered.
	StoreSilent timekeeper.Span `json:"store-silent"`
}

// Current returns the configuration in force; its revision is zero when there
// is none yet.
func (watcher *Watcher) Current() resolver.Config {
	if config := watcher.current.Load(); config != nil {
		return *config
	}
	return resolver.Config{}
}

// Status returns what the process knows about its configuration.
func (watcher *Watcher) Status() Status {
	now := watcher.settings.Clock.Now()
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	status := Status{
		Revision: watcher.standing.InForce,
		Hash:     watcher.accepted.Hash,
		Heard:    watcher.standing.Heard,
		Behind:   watcher.standing.Behind(now),
	}
	if watcher.standing.Failures > 0 && watcher.standing.StoreAt > 0 {
		status.StoreSilent = now.Since(watcher.standing.StoreAt)
	}
	return status
}

// Hear takes in a revision that came with a message of a peer.
func (watcher *Watcher) Hear(revision uint64) {
	now := watcher.settings.Clock.Now()
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	standing, news := watcher.standing.Hear(revision, now)
	watcher.standing = standing
	if !news {
		return
	}
	select {
	case watcher.nudged <- struct{}{}:
	default:
	}
}

// Answer returns the configuration for a peer that asks: without the body when
// it is below the least revision that the peer wants.
func (watcher *Watcher) Answer(ask *encoder.ConfigAsk) *encoder.ConfigBody {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	head := watcher.accepted.Head
	body := &encoder.ConfigBody{Revision: head.Revision, Hash: head.Hash, ChangeId: head.ChangeID, Heard: watcher.standing.Heard}
	if head.Revision >= ask.GetLeast() {
		body.Body = watcher.accepted.Body
	}
	return body
}

// Look reads the head once and takes a higher revision into force. When the
// store doesn't answer, peers are asked instead.
func (watcher *Watcher) Look(ctx context.Context) error {
	head, _, err := ReadHead(ctx, watcher.settings.Platform)
	if err != nil {
		watcher.update(Standing.Miss)
		if _, _, found := watcher.askPeers(ctx, watcher.Current().Revision+1, Answers); found {
			return nil
		}
		return err
	}
	now := watcher.settings.Clock.Now()
	wanted := false
	watcher.update(func(standing Standing) Standing {
		standing, wanted = standing.Read(head.Revision, now)
		return standing
	})
	if !wanted {
		return nil
	}
	accepted, err := FetchBody(ctx, watcher.settings.Platform, head)
	if err == nil {
		return watcher.take(accepted, "store")
	}
	if _, _, found := watcher.askPeers(ctx, head.Revision, Answers); found {
		return nil
	}
	return err
}

func (watcher *Watcher) update(change func(standing Standing) Standing) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.standing = change(watcher.standing)
}

// take brings an accepted configuration into force, unless it is not higher.
func (watcher *Watcher) take(accepted Accepted, from string) error {
	config, err := accepted.Resolve(watcher.settings.Site)
	if err != nil {
		return err
	}
	watcher.mu.Lock()
	before := watcher.standing.InForce
	standing, ok := watcher.standing.Take(accepted.Revision)
	if ok {
		watcher.standing, watcher.accepted = standing, accepted
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

// draw returns the wait that a rule gives for a random draw.
func (watcher *Watcher) draw(rule func(standing Standing, every timekeeper.Span, draw float64) timekeeper.Span) timekeeper.Span {
	every := watcher.Current().Limits.WithDefaults().PollEvery
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return rule(watcher.standing, every, watcher.draws.Float64())
}

// Run looks again and again until ctx ends: after each poll, and soon after
// news of a higher revision.
func (watcher *Watcher) Run(ctx context.Context) {
	for watcher.rest(ctx) == nil {
		if err := watcher.Look(ctx); err != nil {
			watcher.settings.Log.WithError(err).Warn("configuration not read")
		}
	}
}

// rest waits until the next look.
func (watcher *Watcher) rest(ctx context.Context) error {
	fired, release := watcher.settings.Clock.After(watcher.draw(Standing.Wait))
	defer release()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-watcher.nudged:
		return watcher.settings.Clock.Sleep(ctx, watcher.draw(Standing.Nudge))
	}
}

// Await looks until the process may serve, or returns the error of ctx. It may
// serve with the store's head, or when that gives no answer, with the highest
// revision of several peers.
func (watcher *Watcher) Await(ctx context.Context) error {
	const pause = 200 * timekeeper.Millisecond
	var start Start
	for {
		if watcher.tryStart(ctx, &start) {
			return nil
		}
		if watcher.settings.Clock.Sleep(ctx, pause+watcher.draw(Standing.Nudge)/2) != nil {
			return eris.Wrap(ctx.Err(), "no configuration was found: the store gives no answer, and too few peers do")
		}
	}
}

func (watcher *Watcher) tryStart(ctx context.Context, start *Start) bool {
	head, _, err := ReadHead(ctx, watcher.settings.Platform)
	if err == nil {
		return head.Revision > 0 && watcher.Look(ctx) == nil && watcher.Current().Revision >= head.Revision
	}
	answered, highest, _ := watcher.askPeers(ctx, watcher.Current().Revision+1, StartPeers)
	known := len(watcher.settings.Peers())
	now := watcher.settings.Clock.Now()
	*start = start.WithRound(known, answered, max(highest, watcher.Current().Revision), now)
	revision, ready := start.Ready(now)
	return ready && watcher.Current().Revision >= revision
}
