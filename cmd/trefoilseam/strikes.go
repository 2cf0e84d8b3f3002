package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/internal/striker"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// strikesPage is the maximum number of strikes per read of the table.
const strikesPage = 256

// strikesCommand returns the commands that list and lift the strikes of requests that
// were in flight when an upstream crashed.
func strikesCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "strikes",
		ShortUsage: "trefoilseam strikes <list|lift> -platform URL",
		ShortHelp:  "list and lift the verdicts on requests that crash upstreams",
		FlagSet:    flag.NewFlagSet("trefoilseam strikes", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			strikesSubcommand("list", "list the strikes that count now", listStrikes),
			strikesSubcommand("lift", "lift the strikes of the fingerprints given", liftStrikes),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func strikesSubcommand(
	name, help string, work func(ctx context.Context, book striker.Book, args []string) error,
) *ffcli.Command {
	flags := flag.NewFlagSet("trefoilseam strikes "+name, flag.ContinueOnError)
	address := flags.String("platform", "", "base address of the platform's services")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "trefoilseam strikes " + name + " -platform URL [FINGERPRINT...]",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if *address == "" {
				return eris.Wrap(errUsage, "give the platform's address with -platform")
			}
			platform, closePlatform := storekeeper.Remote(*address)
			defer closePlatform()
			return work(ctx, striker.NewBook(platform.Table, timekeeper.Wall().Now), args)
		},
	}
}

func listStrikes(ctx context.Context, book striker.Book, _ []string) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FINGERPRINT\tSTRIKES\tEXPIRES\tSERVICE\tTEAM\tINSTANCES")
	after := ""
	for {
		strikes, err := book.List(ctx, after, strikesPage)
		if err != nil {
			return err
		}
		for _, strike := range strikes {
			after = striker.RowKey(strike.Fingerprint)
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\n", after, strike.Count, strike.Expires,
				strike.Service, strike.Team, strings.Join(strike.Instances, ","))
		}
		if len(strikes) < strikesPage {
			return table.Flush()
		}
	}
}

func liftStrikes(ctx context.Context, book striker.Book, args []string) error {
	if len(args) == 0 {
		return eris.Wrap(errUsage, "name at least one fingerprint, as in the list")
	}
	const base, bits = 16, 64
	for _, text := range args {
		fingerprint, err := strconv.ParseUint(text, base, bits)
		if err != nil {
			return eris.Wrapf(errUsage, "%q is no fingerprint", text)
		}
		lifted, err := book.Lift(ctx, fingerprint)
		if err != nil {
			return eris.Wrap(err, "lift "+text)
		}
		if !lifted {
			return eris.Errorf("there is no strike with the fingerprint %s", text)
		}
		fmt.Fprintln(os.Stdout, "lifted", text)
	}
	return nil
}
