package main

import (
	"context"
	"fmt"
	"os"

	"github.com/oklog/run"

	"github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

// Settings of the development site for an entry without agents.
const (
	devHost       = "kitchen.example"
	devKey        = "dev-key"
	devDataCentre = "bole"
	devPlanners   = 9
	devOrders     = 4
	devStopDelay  = 100 * timekeeper.Millisecond
)

// runDevDirect runs an entry without agents and the platform's emulator in one process.
func runDevDirect(ctx context.Context, listen, level string) error {
	log, err := newLog(level)
	if err != nil {
		return err
	}
	site, releaseSite, err := emulator.StartSite(emulator.SiteSettings{
		Host: devHost, Key: devKey, DataCentre: devDataCentre, Planners: devPlanners, Orders: devOrders, Clock: timekeeper.Steady(),
	})
	if err != nil {
		return err
	}
	defer releaseSite()
	settings := loader.Direct{
		Name: "entry-1", DataCentre: devDataCentre, Listen: listen, ReadyListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		MetricsListen: "127.0.0.1:0", Store: site.Address(), StopDelay: devStopDelay,
	}.WithDefaults()
	env := assembler.DirectEnvironment{Log: log, DroppedLines: func() int64 { return 0 }}
	direct, release, err := assembler.NewDirect(ctx, settings, "", env)
	if err != nil {
		return err
	}
	defer release()
	fmt.Fprintln(os.Stdout, "store     ", site.Address())
	fmt.Fprintln(os.Stdout, "entry     ", direct.Address())
	fmt.Fprint(os.Stdout, site.ExampleCalls(direct.Address()))
	var group run.Group
	direct.AddTo(&group)
	return runGroup(&group)
}
