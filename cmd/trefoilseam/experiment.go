package main

import (
	"cmp"
	"context"
	"flag"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/simulator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// maxSeeds bounds the runs per policy and load; a run takes about a tenth of a second.
const maxSeeds = 1000

func experimentCommand() *ffcli.Command {
	flags := flag.NewFlagSet("trefoilseam experiment", flag.ContinueOnError)
	loads := flags.String("loads", "0.5,1,2,4", "factors of today's load, separated by commas")
	policies := flags.String("policies", "", "policies, separated by commas; all when empty")
	seeds := flags.Int("seeds", 3, "runs of each policy at each load")
	site := flags.String("site", "kitchen", "what is played: kitchen, 4 entries before 9 engines; halls, 31 before 56")
	entries := flags.Int("entries", 0, "how many entries there are; zero leaves what the site has")
	engines := flags.Int("engines", 0, "how many engines there are; zero leaves what the site has")
	digest := flags.Int("digest", 0, "time between two digests in ms; zero leaves what the site has")
	hot := flags.Float64("hot", 0, "share of the requests that are about one thing, 0 to 1")
	slow := flags.Float64("slow", 1, "factor by which one engine is slower")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "trefoilseam experiment [flags]",
		ShortHelp:  "play placement policies before model engines in virtual time",
		LongHelp: "Prints for each load and policy the share of the callers' worth that is served,\n" +
			"the reuse of prompts, the skew, the share of requests beyond an engine's share,\n" +
			"and how many answers of each class begin on time. Everything follows from seeds.",
		FlagSet: flags,
		Exec: func(context.Context, []string) error {
			sweep := simulator.Sweep{Seeds: *seeds, Hot: *hot, Slow: *slow}
			size := siteSize{name: *site, entries: *entries, engines: *engines, digest: timekeeper.Span(*digest)}
			if err := size.fill(&sweep); err != nil {
				return err
			}
			if err := readSweep(&sweep, *loads, *policies); err != nil {
				return err
			}
			return sweep.WriteTable(os.Stdout)
		},
	}
}

// siteSize selects the simulated site and overrides its numbers of entries and engines
// and its digest interval; a zero field keeps the value of the site.
type siteSize struct {
	name             string
	entries, engines int
	digest           timekeeper.Span
}

// fill validates the size and sets the site of sweep.
func (size siteSize) fill(sweep *simulator.Sweep) error {
	switch size.name {
	case "kitchen":
		sweep.Site = simulator.Kitchen()
	case "halls":
		sweep.Site = simulator.Halls()
	default:
		return eris.Wrapf(errUsage, "site %q: kitchen or halls", size.name)
	}
	if size.entries < 0 || size.engines < 0 || size.digest < 0 {
		return eris.Wrap(errUsage, "entries, engines and digest are at least 1; zero leaves what the site has")
	}
	sweep.Site.Entries = cmp.Or(size.entries, sweep.Site.Entries)
	sweep.Site.Engines = cmp.Or(size.engines, sweep.Site.Engines)
	sweep.Site.DigestInterval = cmp.Or(size.digest, sweep.Site.DigestInterval)
	return nil
}

// readSweep validates the flags and sets the loads and policies of sweep.
func readSweep(sweep *simulator.Sweep, loads, policies string) error {
	for _, text := range strings.Split(loads, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(load > 0 && load <= 100) {
			return eris.Wrapf(errUsage, "load %q: write a number over 0, at most 100", text)
		}
		sweep.Loads = append(sweep.Loads, load)
	}
	selected, err := readPolicies(policies)
	if err != nil {
		return err
	}
	sweep.Policies = selected
	switch {
	case sweep.Seeds < 1 || sweep.Seeds > maxSeeds:
		return eris.Wrapf(errUsage, "seeds is %d: write 1 to %d", sweep.Seeds, maxSeeds)
	case sweep.Hot < 0 || sweep.Hot > 1 || sweep.Slow < 1:
		return eris.Wrap(errUsage, "hot is from 0 to 1, slow at least 1")
	}
	return nil
}

// readPolicies parses a comma-separated list of policies; empty means all.
func readPolicies(text string) ([]simulator.Policy, error) {
	if text == "" {
		return simulator.Policies(), nil
	}
	var selected []simulator.Policy
	for _, name := range strings.Split(text, ",") {
		policy := simulator.Policy(strings.TrimSpace(name))
		if !slices.Contains(simulator.Policies(), policy) {
			return nil, eris.Wrapf(errUsage, "policy %q: one of %v", name, simulator.Policies())
		}
		selected = append(selected, policy)
	}
	return selected, nil
}
