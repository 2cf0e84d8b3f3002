package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/internal/limiter"
)

// maxSharesBytes bounds an entry's answer.
const maxSharesBytes = 4 << 20

// errShares is returned if an entry didn't say what it knows of the shares.
var errShares = eris.New("no answer from some entries")

// entryShares is the answer of one entry, or why there is none.
type entryShares struct {
	entry  string
	shares []assembler.ShareStatus
	err    error
}

func sharesCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "shares",
		ShortUsage: "trefoilseam shares ADDRESS...",
		ShortHelp:  "show how entries without agents share contended services among teams",
		LongHelp:   "Each ADDRESS is one at which an entry listens for its peers.",
		FlagSet:    flag.NewFlagSet("trefoilseam shares", flag.ContinueOnError),
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       func(ctx context.Context, entries []string) error { return listShares(ctx, os.Stdout, entries) },
	}
}

// listShares prints the shares that entries know. Entries that don't answer are named in the table
// and make it fail after the others are printed.
func listShares(ctx context.Context, out io.Writer, entries []string) error {
	if len(entries) == 0 {
		return eris.Wrap(errUsage, "name at least one address of an entry")
	}
	answers := make([]entryShares, len(entries))
	var calls sync.WaitGroup
	for i, entry := range entries {
		calls.Go(func() {
			shares, err := fetchShares(ctx, entry)
			answers[i] = entryShares{entry: entry, shares: shares, err: err}
		})
	}
	calls.Wait()
	if err := writeShares(out, answers); err != nil {
		return err
	}
	var silent []string
	for _, answer := range answers {
		if answer.err != nil {
			silent = append(silent, answer.err.Error())
		}
	}
	if len(silent) > 0 {
		return eris.Wrap(errShares, strings.Join(silent, "; "))
	}
	return nil
}

// writeShares prints a table with a line for each entry and contended service. An entry without such
// a service has one line too.
func writeShares(out io.Writer, answers []entryShares) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "entry\tservice\tcapacity\tdemand\tlevel\tmargin\treservations\tteams-over")
	for _, answer := range answers {
		switch {
		case answer.err != nil:
			_, _ = fmt.Fprintf(table, "%s\tno answer\n", answer.entry)
		case len(answer.shares) == 0:
			_, _ = fmt.Fprintf(table, "%s\tnone contended\n", answer.entry)
		}
		for _, share := range answer.shares {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.1f\t%.1f\t%.2f\t%.2f\t%d\t%s\n", answer.entry, share.Service, share.Capacity,
				share.Demand, share.Level, share.Margin, share.Reservations, strings.Join(share.TeamsOver, " "))
		}
	}
	return table.Flush()
}

func fetchShares(ctx context.Context, entry string) ([]assembler.ShareStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+assembler.PathShares, http.NoBody)
	if err != nil {
		return nil, eris.Wrapf(err, "entry %s", entry)
	}
	client, release := newPageClient()
	defer release()
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "entry %s", entry)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("entry %s: status %d", entry, response.StatusCode)
	}
	var shares []assembler.ShareStatus
	err = limiter.Decode(response.Body, maxSharesBytes, &shares)
	return shares, eris.Wrapf(err, "answer of %s", entry)
}
