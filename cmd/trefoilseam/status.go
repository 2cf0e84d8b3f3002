package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// statusTimeout bounds the reading of one status page.
const statusTimeout = 5 * time.Second

// members is what a process, or the agents of a site, believe about the replicas.
type members struct {
	Name    string                   `json:"name"`
	Site    string                   `json:"site"`
	Control *budgeter.Status         `json:"control,omitempty"`
	Members []reporter.ReplicaStatus `json:"members"`
}

func membersCommand() *ffcli.Command {
	flags := flag.NewFlagSet("trefoilseam status", flag.ContinueOnError)
	admin := flags.String("admin", "", "admin address of one process")
	platform := flags.String("platform", "", "address of the platform: ask every agent on its list about itself")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "trefoilseam status -admin ADDRESS | -platform ADDRESS [-json]",
		ShortHelp:  "show what one process, or a site, sees now",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			seen, err := see(ctx, *admin, *platform)
			if err != nil {
				return err
			}
			return show(os.Stdout, seen, *asJSON)
		},
	}
}

func see(ctx context.Context, admin, platform string) (members, error) {
	switch {
	case admin != "" && platform == "":
		return seeProcess(ctx, admin)
	case platform != "" && admin == "":
		return seeSite(ctx, platform)
	}
	return members{}, eris.Wrap(errUsage, "give either -admin or -platform")
}

// seeProcess reads the status page of one process.
func seeProcess(ctx context.Context, admin string) (members, error) {
	var seen members
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/status", nil)
	if err != nil {
		return seen, eris.Wrap(errUsage, err.Error())
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return seen, eris.Wrap(err, "status page")
	}
	defer func() { _ = response.Body.Close() }()
	return seen, eris.Wrap(json.NewDecoder(response.Body).Decode(&seen), "status page")
}

// seeSite asks each agent on the platform's list about itself. An agent that
// doesn't answer is shown as silent: the list may be wrong, or the way cut.
func seeSite(ctx context.Context, address string) (members, error) {
	platform, release, err := connect(address)
	if err != nil {
		return members{}, err
	}
	defer release()
	pool, closePool := dialer.NewPool(dialer.Settings{})
	defer closePool()
	listed, err := platform.Directory.List(ctx)
	if err != nil {
		return members{}, eris.Wrap(err, "instance list")
	}
	seen := members{Name: "platform", Members: make([]reporter.ReplicaStatus, len(listed))}
	queue := make(chan int, len(listed))
	for i := range listed {
		queue <- i
	}
	close(queue)
	var workers sync.WaitGroup
	for range min(askWorkers, len(listed)) {
		workers.Go(func() {
			for i := range queue {
				seen.Members[i] = statusOf(ctx, pool, listed[i])
			}
		})
	}
	workers.Wait()
	return seen, nil
}

// askWorkers bounds how many agents are asked at once. A fleet of 3,100 then
// takes some hundred rounds, of which only those with a silent agent are long;
// more at once would be a burst of dials from one machine.
const askWorkers = 32

// statusOf asks the agent of an instance about itself.
func statusOf(ctx context.Context, pool *dialer.Pool, instance storekeeper.Instance) reporter.ReplicaStatus {
	status := reporter.ReplicaStatus{
		Service: instance.Service, Name: instance.Name, Site: instance.Site, Address: instance.Address,
		State: "silent", Listed: true, Weight: 1,
	}
	if digest, ok := itself(ctx, pool, instance.Address); ok {
		status.State = reporter.StateName(digest.GetState())
		status.Incarnation, status.Sequence = digest.GetIncarnation(), digest.GetSequence()
		status.Revision, status.Load = digest.GetRevision(), digest.GetLoad()
	}
	return status
}

// itself asks an agent what it says about itself.
func itself(ctx context.Context, pool *dialer.Pool, address string) (*encoder.Digest, bool) {
	frame, err := publisher.Exchange(ctx, pool, address, &encoder.DigestAsk{Asker: "status"})
	if err != nil || len(frame.GetDigests().GetDigests()) == 0 {
		return nil, false
	}
	return frame.GetDigests().GetDigests()[0], true
}

func show(out io.Writer, seen members, asJSON bool) error {
	slices.SortFunc(seen.Members, func(a, b reporter.ReplicaStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	if asJSON {
		encode := json.NewEncoder(out)
		encode.SetIndent("", "  ")
		return encode.Encode(seen)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tREPLICA\tSITE\tSTATE\tWEIGHT\tLOAD\tREVISION\tAGE\tLISTED\tADDRESS")
	for _, one := range seen.Members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.2f\t%d\t%d\t%s\t%t\t%s\n", one.Service, one.Name, one.Site, one.State,
			one.Weight, one.Load, one.Revision, max(0, one.Age-one.Age%(100*timekeeper.Millisecond)), one.Listed, one.Address)
	}
	if seen.Control != nil {
		_, _ = fmt.Fprintf(table, "control\t%d of %d bytes/s\t\t%s\n", seen.Control.PerSecond, seen.Control.Limit, seen.Control.Level)
		for _, cause := range seen.Control.Causes {
			_, _ = fmt.Fprintf(table, "\t%s\t\t%d bytes\n", cause.Cause, cause.Bytes)
		}
	}
	return table.Flush()
}
