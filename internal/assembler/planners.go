package assembler

import (
	"context"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/planner"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// plannersPollInterval bounds the delay until a planner starts for a service that is new
// in the configuration.
const plannersPollInterval = 2 * timekeeper.Second

// planners run one planner for each service that has engine orders.
type planners struct {
	entry       *Entry
	pool        *dialer.Pool
	incarnation uint64
}

func (planners planners) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	started := map[string]bool{}
	startMissing := func(ctx context.Context) {
		config := planners.entry.watcher.Current()
		for _, name := range config.ServiceNames() {
			if !started[name] && config.Services[name].ReceivesOrders() {
				started[name] = true
				running.Go(func() { planners.planner(name).Run(ctx) })
			}
		}
	}
	startMissing(ctx)
	planners.entry.env.Clock.Every(ctx, func() timekeeper.Span { return plannersPollInterval }, startMissing)
}

func (planners planners) planner(service string) *planner.Planner {
	entry := planners.entry
	return planner.New(planner.Settings{
		Holder:  entry.process.Name + "-" + strconv.FormatUint(planners.incarnation, 36),
		Service: service,
		Table:   entry.env.Platform.Table,
		Clock:   entry.env.Clock,
		Log:     entry.env.Log,
		Seed:    planners.incarnation,
		Config:  entry.watcher.Current,
		Engines: entry.view.Engines,
		Send:    planners.send,
	})
}

func (planners planners) send(ctx context.Context, address string, order *encoder.EngineOrder) (*encoder.EngineOrderDone, error) {
	answer, err := publisher.ExchangeUntil(ctx, planners.pool, address, order)
	if err != nil {
		return nil, err
	}
	if answer.GetEngineOrderDone() == nil {
		return nil, eris.New("the agent answered an engine order without reporting its end")
	}
	return answer.GetEngineOrderDone(), nil
}
