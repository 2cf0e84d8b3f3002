package main

import (
	"context"
	"flag"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/simulator"
)

// mostSeeds bounds the runs of one point; a run takes about a tenth of a second.
const mostSeeds = 1000

func experimentCommand() *ffcli.Command {
	flags := flag.NewFlagSet("trefoilseam experiment", flag.ContinueOnError)
	loads := flags.String("loads", "0.5,1,2,4", "factors of today's load, separated by commas")
	policies := flags.String("policies", "", "policies, separated by commas; all when empty")
	seeds := flags.Int("seeds", 3, "runs of each policy at each load")
	entries := flags.Int("entries", 4, "how many entries there are")
	engines := flags.Int("engines", 9, "how many engines there are")
	hot := flags.Float64("hot", 0, "share of the requests that are about one thing, 0 to 1")
	slow := flags.Float64("slow", 1, "factor by which one engine is slower")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "trefoilseam experiment [flags]",
		ShortHelp:  "play placement policies before model engines in virtual time",
		LongHelp: "Prints for each load and policy the share of the callers' worth that is served,\n" +
			"the reuse of prompts, the skew, the share of requests beyond an engine's share,\n" +
			"and how many answers of each class begin on time. Everything follows from seeds.\n\n" +
			"  trefoilseam experiment -loads 1,4,8 -policies fleet,rendezvous -hot 0.5",
		FlagSet: flags,
		Exec: func(context.Context, []string) error {
			sweep := simulator.Sweep{Site: simulator.Kitchen(), Seeds: *seeds, Hot: *hot, Slow: *slow}
			sweep.Site.Entries, sweep.Site.Engines = *entries, *engines
			if err := readSweep(&sweep, *loads, *policies); err != nil {
				return err
			}
			return sweep.WriteTable(os.Stdout)
		},
	}
}

// readSweep checks the flags and fills in loads and policies.
func readSweep(sweep *simulator.Sweep, loads, policies string) error {
	for _, text := range strings.Split(loads, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(load > 0 && load <= 100) {
			return eris.Wrapf(errUsage, "load %q: write a number over 0, at most 100", text)
		}
		sweep.Loads = append(sweep.Loads, load)
	}
	chosen, err := readPolicies(policies)
	if err != nil {
		return err
	}
	sweep.Policies = chosen
	switch {
	case sweep.Seeds < 1 || sweep.Seeds > mostSeeds:
		return eris.Wrapf(errUsage, "seeds is %d: write 1 to %d", sweep.Seeds, mostSeeds)
	case sweep.Site.Entries < 1 || sweep.Site.Engines < 1:
		return eris.Wrap(errUsage, "there must be an entry and an engine")
	case sweep.Hot < 0 || sweep.Hot > 1 || sweep.Slow < 1:
		return eris.Wrap(errUsage, "hot is from 0 to 1, slow at least 1")
	}
	return nil
}

// readPolicies returns the policies that a text names; all when it is empty.
func readPolicies(text string) ([]simulator.Policy, error) {
	if text == "" {
		return simulator.Policies(), nil
	}
	var chosen []simulator.Policy
	for _, name := range strings.Split(text, ",") {
		policy := simulator.Policy(strings.TrimSpace(name))
		if !slices.Contains(simulator.Policies(), policy) {
			return nil, eris.Wrapf(errUsage, "policy %q: one of %v", name, simulator.Policies())
		}
		chosen = append(chosen, policy)
	}
	return chosen, nil
}
