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
	"github.com/trefoilseam/trefoilseam/internal/limiter"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/reporter"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// statusTimeout bounds the request for one status page.
const statusTimeout = 5 * time.Second

// statusReport holds the states of replicas as one process, or the agents of a site,
// report them.
type statusReport struct {
	Name     string                   `json:"name"`
	Site     string                   `json:"site"`
	Control  *budgeter.Status         `json:"control,omitempty"`
	Replicas []reporter.ReplicaStatus `json:"members"`
}

func statusCommand() *ffcli.Command {
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
			report, err := fetchStatus(ctx, *admin, *platform)
			if err != nil {
				return err
			}
			return writeStatus(os.Stdout, report, *asJSON)
		},
	}
}

func fetchStatus(ctx context.Context, admin, platform string) (statusReport, error) {
	switch {
	case admin != "" && platform == "":
		return fetchProcessStatus(ctx, admin)
	case platform != "" && admin == "":
		return fetchSiteStatus(ctx, platform)
	}
	return statusReport{}, eris.Wrap(errUsage, "give either -admin or -platform")
}

// maxPageBytes bounds a page of a process.
const maxPageBytes = 64 << 20

// fetchProcessStatus fetches the status page of one process.
func fetchProcessStatus(ctx context.Context, admin string) (statusReport, error) {
	var report statusReport
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/status", nil)
	if err != nil {
		return report, eris.Wrap(errUsage, err.Error())
	}
	client, release := newPageClient()
	defer release()
	response, err := client.Do(request)
	if err != nil {
		return report, eris.Wrap(err, "status page")
	}
	defer func() { _ = response.Body.Close() }()
	return report, eris.Wrap(limiter.Decode(response.Body, maxPageBytes, &report), "status page")
}

// fetchSiteStatus fetches the digest of each agent on the platform's list. An agent
// that doesn't answer is shown as silent: the list may be wrong, or the network cut.
func fetchSiteStatus(ctx context.Context, address string) (statusReport, error) {
	platform, release, err := connect(address)
	if err != nil {
		return statusReport{}, err
	}
	defer release()
	pool, closePool := dialer.NewPool(dialer.Settings{})
	defer closePool()
	listed, err := platform.Directory.List(ctx)
	if err != nil {
		return statusReport{}, eris.Wrap(err, "instance list")
	}
	report := statusReport{Name: "platform", Replicas: make([]reporter.ReplicaStatus, len(listed))}
	queue := make(chan int, len(listed))
	for i := range listed {
		queue <- i
	}
	close(queue)
	var workers sync.WaitGroup
	for range min(statusWorkers, len(listed)) {
		workers.Go(func() {
			for i := range queue {
				report.Replicas[i] = statusOf(ctx, pool, listed[i])
			}
		})
	}
	workers.Wait()
	return report, nil
}

// statusWorkers bounds concurrent digest requests. A fleet of 3,100 agents takes about
// a hundred rounds, and only rounds with a silent agent are slow; more workers would
// make a burst of dials from one machine.
const statusWorkers = 32

// statusOf returns the status of an instance from the digest of its agent, or the state
// silent if the agent doesn't answer.
func statusOf(ctx context.Context, pool *dialer.Pool, instance storekeeper.Instance) reporter.ReplicaStatus {
	status := reporter.ReplicaStatus{
		Service: instance.Service, Name: instance.Name, Site: instance.Site, Address: instance.Address,
		State: "silent", Listed: true, Weight: 1,
	}
	if digest, ok := fetchDigest(ctx, pool, instance.Address); ok {
		status.State = reporter.StateName(digest.GetState())
		status.Incarnation, status.Sequence = digest.GetIncarnation(), digest.GetSequence()
		status.Revision, status.Load = digest.GetRevision(), digest.GetLoad()
	}
	return status
}

// fetchDigest fetches the digest of an agent about its own replica.
func fetchDigest(ctx context.Context, pool *dialer.Pool, address string) (*encoder.Digest, bool) {
	frame, err := publisher.Exchange(ctx, pool, address, &encoder.DigestAsk{Asker: "status"})
	if err != nil || len(frame.GetDigests().GetDigests()) == 0 {
		return nil, false
	}
	return frame.GetDigests().GetDigests()[0], true
}

func writeStatus(out io.Writer, report statusReport, asJSON bool) error {
	slices.SortFunc(report.Replicas, func(a, b reporter.ReplicaStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	if asJSON {
		encode := json.NewEncoder(out)
		encode.SetIndent("", "  ")
		return encode.Encode(report)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tREPLICA\tSITE\tSTATE\tWEIGHT\tLOAD\tREVISION\tAGE\tLISTED\tADDRESS")
	for _, replica := range report.Replicas {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.2f\t%d\t%d\t%s\t%t\t%s\n", replica.Service, replica.Name, replica.Site, replica.State,
			replica.Weight, replica.Load, replica.Revision, max(0, replica.Age-replica.Age%(100*timekeeper.Millisecond)), replica.Listed, replica.Address)
	}
	if report.Control != nil {
		_, _ = fmt.Fprintf(table, "control\t%d of %d bytes/s\t\t%s\n", report.Control.PerSecond, report.Control.Limit, report.Control.Level)
		for _, cause := range report.Control.Causes {
			_, _ = fmt.Fprintf(table, "\t%s\t\t%d bytes\n", cause.Cause, cause.Bytes)
		}
	}
	return table.Flush()
}
