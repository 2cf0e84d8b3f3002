package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func devCommand() *ffcli.Command {
	flags := flag.NewFlagSet("trefoilseam dev", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:8080", "address of the first entry")
	level := flags.String("log-level", "info", "debug, info, warn or error")
	standIns := flags.Bool("stand-ins-only", false, "run only the platform and the upstreams")
	direct := flags.Bool("direct", false, "run an entry without agents before the emulator of the users' platform")
	return &ffcli.Command{
		Name:       "dev",
		ShortUsage: "trefoilseam dev [-direct] [-listen ADDRESS]",
		ShortHelp:  "run a small site, stand-ins and all, in one process",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if *direct {
				return runDevDirect(ctx, *listen, *level)
			}
			return runDev(ctx, assembler.DevSettings{Listen: *listen, StandInsOnly: *standIns}, *level)
		},
	}
}

func runDev(ctx context.Context, settings assembler.DevSettings, level string) error {
	log, err := newLog(level)
	if err != nil {
		return err
	}
	var group run.Group
	dev, release, err := assembler.NewDev(ctx, settings, assembler.Environment{Clock: timekeeper.SinceBoot(), Log: log}, &group)
	if err != nil {
		return err
	}
	defer release()
	describe(dev)
	return runGroup(&group)
}

// describe prints the addresses of the site and calls to try.
func describe(dev *assembler.Dev) {
	out := os.Stdout
	fmt.Fprintln(out, "platform  ", dev.Platform)
	if len(dev.Entries) == 0 {
		for _, name := range slices.Sorted(maps.Keys(dev.Upstreams)) {
			fmt.Fprintln(out, name, dev.Upstreams[name])
		}
		return
	}
	fmt.Fprintln(out, "entries   ", dev.Entries)
	fmt.Fprintf(out, `try
  curl -iN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Trefoilseam-Chat: van-7' \
    -d '{"model":"planner","stream":true,"messages":[{"role":"user","content":"rebuild the route of van seven from the ledger of yesterday"}]}'
  curl -i http://%[1]s/orders -H 'Authorization: Bearer %[2]s'
  curl -i http://%[1]s/orders -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: lunch-1' -d '{"school":"Piassa","meals":40}'
`, dev.Entries[0], assembler.DevKey)
}
