package assembler

import (
	"context"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// control exchanges state of the fleet with peers and the platform, and counts the
// traffic that this takes.
type control struct {
	env       Environment
	budget    *budgeter.Budget
	view      *reporter.View
	exchanger *reporter.Exchanger
	pool      *dialer.Pool
}

// controlSettings are the settings of a control.
type controlSettings struct {
	process     loader.Process
	env         Environment
	scope       tally.Scope
	pool        *dialer.Pool
	incarnation uint64
	// service and self are set for an agent.
	service string
	self    func() *encoder.Digest
}

func newControl(settings controlSettings) *control {
	ctrl := &control{env: settings.env, pool: settings.pool}
	ctrl.budget = budgeter.New(budgeter.Settings{Count: countControlBytes(settings.scope)})
	ctrl.view = reporter.NewView(reporter.Settings{
		Directory: settings.env.Platform.Directory,
		Clock:     settings.env.Clock,
		Log:       settings.env.Log,
		Budget:    ctrl.budget,
		Rules:     rulesOf(settings),
		Service:   settings.service,
		Seed:      settings.incarnation,
	})
	ctrl.exchanger = reporter.NewExchanger(reporter.ExchangeSettings{
		View:     ctrl.view,
		Open:     settings.pool.Open,
		Name:     settings.process.Name,
		Site:     settings.process.Site,
		Seeds:    settings.process.Peers,
		Self:     settings.self,
		Interval: settings.process.MembershipInterval,
	})
	return ctrl
}

// rulesOf returns the rules of a process's view. Their spans are multiples of the
// membership round, so that a live replica is as unlikely to be taken for dead by chance
// at any length of the round.
func rulesOf(settings controlSettings) reporter.Rules {
	const silenceRounds, retryRounds = 8, 10
	round := settings.process.MembershipInterval
	return reporter.Rules{Indirect: settings.self == nil, SilenceTimeout: silenceRounds * round, RetryAfter: retryRounds * round}
}

// countControlBytes returns a function that adds control traffic to the metrics.
func countControlBytes(scope tally.Scope) func(cause budgeter.Cause, bytes int64) {
	return func(cause budgeter.Cause, bytes int64) {
		scope.Tagged(map[string]string{labelCause: cause.String()}).Counter("control-bytes").Inc(bytes)
	}
}

// addTo adds the loops that keep the view up to date, count session probes and close
// unused sessions.
func (ctrl *control) addTo(group *run.Group) {
	addLoop(group, func(ctx context.Context) { ctrl.view.Run(ctx, ctrl.env.Clock) })
	addLoop(group, func(ctx context.Context) { ctrl.exchanger.Run(ctx) })
	addLoop(group, func(ctx context.Context) {
		ctrl.env.Clock.Every(ctx, func() timekeeper.Span { return probeCountInterval }, func(context.Context) {
			bytes := ctrl.pool.ProbeRate() * float64(probeCountInterval) / float64(timekeeper.Second)
			ctrl.budget.Spend(ctrl.env.Clock.Now(), budgeter.Probe, int64(bytes))
			ctrl.pool.CloseIdle()
		})
	})
}

// probeCountInterval is how often the probes of idle sessions are counted. Yamux sends
// them by itself, so their bytes are computed from their rate and size.
const probeCountInterval = 5 * timekeeper.Second

// status returns the process's control traffic.
func (ctrl *control) status() budgeter.Status {
	return ctrl.budget.Status(ctrl.env.Clock.Now())
}

// admitDigest reports whether a digest may be sent along with an answer, and counts it if
// so. These digests are the first to go when the budget is tight: they only report loads.
func (ctrl *control) admitDigest(digest *encoder.Digest) bool {
	if ctrl.budget.Level(ctrl.env.Clock.Now()) >= budgeter.Tight {
		return false
	}
	ctrl.countDigest(digest)
	return true
}

// countDigest counts a digest that was received or sent along with an answer.
func (ctrl *control) countDigest(digest *encoder.Digest) {
	ctrl.budget.Spend(ctrl.env.Clock.Now(), budgeter.Digest, int64(proto.Size(digest)))
}

// requestOverheadBytes is the approximate size of a request to the platform, including
// the headers of its response but not the response body.
const requestOverheadBytes = 300

// meteredEnvironment returns the environment with a platform whose configuration reads
// are counted.
func (ctrl *control) meteredEnvironment() Environment {
	env := ctrl.env
	env.Platform = ctrl.meteredPlatform()
	return env
}

func (ctrl *control) meteredPlatform() storekeeper.Platform {
	platform := ctrl.env.Platform
	spend := func(bytes int) {
		ctrl.budget.Spend(ctrl.env.Clock.Now(), budgeter.Config, int64(requestOverheadBytes+bytes))
	}
	get, fetch := platform.Table.Get, platform.Objects.Get
	platform.Table.Get = func(ctx context.Context, table, key string) (storekeeper.Row, error) {
		row, err := get(ctx, table, key)
		spend(len(row.Value))
		return row, err
	}
	platform.Objects.Get = func(ctx context.Context, name string) ([]byte, error) {
		body, err := fetch(ctx, name)
		spend(len(body))
		return body, err
	}
	return platform
}
