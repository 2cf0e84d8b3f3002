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

// control is the part of a process that speaks to its peers and to the
// platform about the fleet itself, and counts what that costs.
type control struct {
	env       Environment
	budget    *budgeter.Budget
	view      *reporter.View
	exchanger *reporter.Exchanger
	pool      *dialer.Pool
}

// controlSettings set up a control.
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
	made := &control{env: settings.env, pool: settings.pool}
	made.budget = budgeter.New(budgeter.Settings{Count: counter(settings.scope)})
	made.view = reporter.NewView(reporter.Settings{
		Directory: settings.env.Platform.Directory,
		Clock:     settings.env.Clock,
		Log:       settings.env.Log,
		Budget:    made.budget,
		Rules:     rulesOf(settings),
		Service:   settings.service,
		Seed:      settings.incarnation,
	})
	made.exchanger = reporter.NewExchanger(reporter.ExchangeSettings{
		View:  made.view,
		Open:  settings.pool.Open,
		Name:  settings.process.Name,
		Site:  settings.process.Site,
		Seeds: settings.process.Peers,
		Self:  settings.self,
		Every: settings.process.MembershipRound,
	})
	return made
}

// rulesOf returns the rules of a process's view: its spans follow its rounds,
// so that silence is as unlikely by chance at any pace.
func rulesOf(settings controlSettings) reporter.Rules {
	const roundsOfSilence, roundsToCool = 8, 10
	round := settings.process.MembershipRound
	return reporter.Rules{Indirect: settings.self == nil, Silence: roundsOfSilence * round, Cool: roundsToCool * round}
}

// counter returns what takes spending to the metrics.
func counter(scope tally.Scope) func(cause budgeter.Cause, bytes int64) {
	return func(cause budgeter.Cause, bytes int64) {
		scope.Tagged(map[string]string{labelCause: cause.String()}).Counter("control-bytes").Inc(bytes)
	}
}

// addTo adds the loops that keep the view fresh.
func (made *control) addTo(group *run.Group) {
	addLoop(group, func(ctx context.Context) { made.view.Run(ctx, made.env.Clock) })
	addLoop(group, func(ctx context.Context) { made.exchanger.Run(ctx) })
	addLoop(group, func(ctx context.Context) {
		made.env.Clock.Every(ctx, func() timekeeper.Span { return probesEvery }, func(context.Context) {
			bytes := made.pool.ProbeRate() * float64(probesEvery) / float64(timekeeper.Second)
			made.budget.Spend(made.env.Clock.Now(), budgeter.Probe, int64(bytes))
			made.pool.Reap()
		})
	})
}

// probesEvery is how often the probes of idle sessions are reckoned. Yamux
// sends them by itself, so they are counted by their rate and size.
const probesEvery = 5 * timekeeper.Second

// status returns what the process spends on control.
func (made *control) status() budgeter.Status {
	return made.budget.Status(made.env.Clock.Now())
}

// tell counts a digest that rides on an answer, unless loads have to give way.
func (made *control) tell(digest *encoder.Digest) bool {
	if made.budget.Level(made.env.Clock.Now()) >= budgeter.Tight {
		return false
	}
	made.heard(digest)
	return true
}

// heard counts a digest that came or went with an answer.
func (made *control) heard(digest *encoder.Digest) {
	made.budget.Spend(made.env.Clock.Now(), budgeter.Digest, int64(proto.Size(digest)))
}

// requestSize is what a question to the platform takes beside its answer's
// body: the request and the headers of both, about.
const requestSize = 300

// environment returns the environment with what configuration is read counted.
func (made *control) environment() Environment {
	env := made.env
	env.Platform = made.metered()
	return env
}

func (made *control) metered() storekeeper.Platform {
	platform := made.env.Platform
	spend := func(bytes int) {
		made.budget.Spend(made.env.Clock.Now(), budgeter.Config, int64(requestSize+bytes))
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
