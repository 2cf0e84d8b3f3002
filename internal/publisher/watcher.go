package publisher

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// PollEvery is the mean time between two looks at the head.
const PollEvery = 2 * timekeeper.Second

// Watcher keeps a process at the newest accepted configuration.
type Watcher struct {
	platform storekeeper.Platform
	site     string
	log      logrus.FieldLogger
	current  atomic.Pointer[resolver.Config]
}

// NewWatcher returns a watcher that has no configuration yet.
func NewWatcher(platform storekeeper.Platform, site string, log logrus.FieldLogger) *Watcher {
	return &Watcher{platform: platform, site: site, log: log}
}

// Current returns the configuration in force; its revision is zero when there
// is none yet.
func (watcher *Watcher) Current() resolver.Config {
	if config := watcher.current.Load(); config != nil {
		return *config
	}
	return resolver.Config{}
}

// Look reads the head once and takes a higher revision into force.
func (watcher *Watcher) Look(ctx context.Context) error {
	head, _, err := ReadHead(ctx, watcher.platform)
	if err != nil {
		return err
	}
	now := watcher.Current().Revision
	if head.Revision <= now {
		return nil
	}
	config, err := Fetch(ctx, watcher.platform, head, watcher.site)
	if err != nil {
		return err
	}
	watcher.current.Store(&config)
	watcher.log.WithFields(logrus.Fields{"revision": head.Revision, "before": now}).Info("configuration in force")
	return nil
}

// Run looks again and again until ctx ends.
func (watcher *Watcher) Run(ctx context.Context, clock timekeeper.Clock) {
	clock.Every(ctx, func() timekeeper.Span { return PollEvery }, func(ctx context.Context) {
		if err := watcher.Look(ctx); err != nil {
			watcher.log.WithError(err).Warn("configuration not read")
		}
	})
}

// Await looks until there is a configuration, or returns the error of ctx.
func (watcher *Watcher) Await(ctx context.Context, clock timekeeper.Clock) error {
	const pause = 200 * timekeeper.Millisecond
	for {
		err := watcher.Look(ctx)
		if err == nil && watcher.Current().Revision > 0 {
			return nil
		}
		if clock.Sleep(ctx, pause) != nil {
			return eris.Wrap(ctx.Err(), "no configuration was found")
		}
	}
}
