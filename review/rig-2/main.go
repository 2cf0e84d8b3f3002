// Command rig-2 plays the cases of the second review that are scripts.
//
// It starts entries as processes, as the deploy file does, before stand-ins of the platform's
// store, of replicas and of clients, and judges a rule by what clients and replicas saw. It exits
// with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// caseLimit bounds a case.
const caseLimit = 115 * timekeeper.Second

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, site *site, trouble bool) (broken bool, err error){
	"crashes-answered":   crashesAfterAnswer,
	"crashes-late":       crashesLate,
	"crashes-left":       crashesAfterLeave,
	"rows-lapse":         rowsLapse,
	"rows-after-silence": rowsAfterSilence,
	"crashes-roll":       crashesDuringRoll,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/trefoilseam", "the program of the deploy file")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	run, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitFailed
	}
	signalled, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signalled, caseLimit.Duration())
	defer cancel()
	site, release, err := newSite(*binary, *path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer release()
	broken, err := run(ctx, site, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		site.record.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}
