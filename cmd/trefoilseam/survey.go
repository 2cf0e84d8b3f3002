package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// awaitRevision waits until every process that the survey finds has the revision in
// force. After timeout it prints the processes that lag and returns an error.
func awaitRevision(ctx context.Context, platform storekeeper.Platform, revision uint64, timeout time.Duration) error {
	const pollInterval = 250 * timekeeper.Millisecond
	pool, release := dialer.NewPool(dialer.Settings{})
	defer release()
	surveyor := publisher.Surveyor{Platform: platform, Pool: pool}
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	clock := timekeeper.Wall()
	var lagging []publisher.ProcessRevision
	var failure error
	for {
		survey, err := surveyor.Survey(waitCtx)
		if err == nil {
			lagging, failure = survey.Lagging(revision), nil
			if len(lagging) == 0 {
				fmt.Printf("in force: revision %d at %d processes\n", revision, len(survey.Processes))
				return nil
			}
		} else if waitCtx.Err() == nil {
			failure = err
		}
		if clock.Sleep(waitCtx, pollInterval) != nil {
			break
		}
	}
	if failure != nil {
		return eris.Wrapf(failure, "revision %d is accepted, but the processes can't be listed", revision)
	}
	for _, process := range lagging {
		fmt.Println(revisionLine(process, revision))
	}
	return eris.Errorf("revision %d is accepted, and %d processes don't have it in force yet", revision, len(lagging))
}

func revisionLine(process publisher.ProcessRevision, head uint64) string {
	state := "in force"
	if process.Revision < head {
		state = "lags"
	}
	if process.Unresponsive {
		state = "silent"
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s", process.Process, process.Site, process.Revision, state)
}

func configStatusCommand() *ffcli.Command {
	flags := configFlags("status")
	address := flags.String("platform", "", "address of the platform")
	asJSON := flags.Bool("json", false, "print JSON")
	return subcommand(flags, "-platform ADDRESS [-json]", "list the revision of each process, and who lags", func(ctx context.Context) error {
		platform, release, err := connect(*address)
		if err != nil {
			return err
		}
		defer release()
		pool, closePool := dialer.NewPool(dialer.Settings{})
		defer closePool()
		survey, err := publisher.Surveyor{Platform: platform, Pool: pool}.Survey(ctx)
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(os.Stdout).Encode(survey)
		}
		fmt.Printf("revision %d, hash %s, change %s\n", survey.Head.Revision, survey.Head.Hash, survey.Head.ChangeID)
		rows := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
		fmt.Fprintln(rows, "PROCESS\tSITE\tREVISION\tSTATE")
		for _, process := range survey.Processes {
			fmt.Fprintln(rows, revisionLine(process, survey.Head.Revision))
		}
		return rows.Flush()
	})
}

func historyCommand() *ffcli.Command {
	flags := configFlags("history")
	address := flags.String("platform", "", "address of the platform")
	after := flags.Uint64("after", 0, "list revisions above this one")
	limit := flags.Int("limit", 100, "list this many at most")
	asJSON := flags.Bool("json", false, "print JSON")
	return subcommand(flags, "-platform ADDRESS [-after REV] [-limit N] [-json]", "list the accepted changes", func(ctx context.Context) error {
		platform, release, err := connect(*address)
		if err != nil {
			return err
		}
		defer release()
		changes, err := publisher.History(ctx, platform, *after, *limit)
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(os.Stdout).Encode(changes)
		}
		rows := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
		fmt.Fprintln(rows, "REVISION\tTIME\tOPERATOR\tCHANGE\tHASH\tCOMMENT")
		for _, change := range changes {
			comment := change.Comment
			if change.RollbackTo > 0 {
				comment = fmt.Sprintf("back to %d. %s", change.RollbackTo, comment)
			}
			fmt.Fprintf(rows, "%d\t%s\t%s\t%s\t%.12s\t%s\n", change.Revision, change.At, change.Operator, change.ChangeID, change.Hash, comment)
		}
		return rows.Flush()
	})
}
