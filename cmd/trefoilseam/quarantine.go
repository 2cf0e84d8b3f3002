package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/internal/limiter"
)

// errQuarantine is returned if an entry refuses a request about quarantined parts.
var errQuarantine = eris.New("the entry refused")

func quarantineCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "quarantine",
		ShortUsage:  "trefoilseam quarantine list|lift [flags]",
		ShortHelp:   "list and lift quarantines of parts of prompts and of requests that crash replicas",
		FlagSet:     flag.NewFlagSet("trefoilseam quarantine", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{quarantineListCommand(), quarantineLiftCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func quarantineListCommand() *ffcli.Command {
	flags := flag.NewFlagSet("trefoilseam quarantine list", flag.ContinueOnError)
	entry := flags.String("entry", "", "address at which an entry listens for its peers")
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "trefoilseam quarantine list -entry ADDRESS",
		ShortHelp:  "list the parts and requests that an entry without agents keeps from replicas",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return listQuarantined(ctx, os.Stdout, *entry) },
	}
}

func quarantineLiftCommand() *ffcli.Command {
	flags := flag.NewFlagSet("trefoilseam quarantine lift", flag.ContinueOnError)
	entry := flags.String("entry", "", "address at which an entry listens for its peers")
	return &ffcli.Command{
		Name:       "lift",
		ShortUsage: "trefoilseam quarantine lift -entry ADDRESS PART|request-FINGERPRINT...",
		ShortHelp:  "let the requests, or those with the parts, be sent again, at all entries; crashes count anew",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, parts []string) error {
			if len(parts) == 0 {
				return eris.Wrap(errUsage, "name at least one part")
			}
			for _, part := range parts {
				if _, err := callQuarantine(ctx, http.MethodDelete, *entry, "/"+part); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func listQuarantined(ctx context.Context, out io.Writer, entry string) error {
	text, err := callQuarantine(ctx, http.MethodGet, entry, "")
	if err != nil {
		return err
	}
	var all []assembler.QuarantineStatus
	if err := json.Unmarshal(text, &all); err != nil {
		return eris.Wrapf(err, "answer of %s", entry)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "part\tago\tlapses\tlifted\tincarnations")
	for _, one := range all {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%s\n", one.Part, one.Ago, one.Lapses, one.Lifted, strings.Join(one.Incarnations, " "))
	}
	return table.Flush()
}

// callQuarantine sends a request about quarantined parts to an entry and returns the answer.
func callQuarantine(ctx context.Context, method, entry, path string) ([]byte, error) {
	if entry == "" {
		return nil, eris.Wrap(errUsage, "give -entry")
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+assembler.PathQuarantine+path, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(errUsage, err.Error())
	}
	client, release := newPageClient()
	defer release()
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "entry %s", entry)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := limiter.ReadAll(response.Body, maxPageBytes)
	if err != nil {
		return nil, eris.Wrapf(err, "entry %s", entry)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, eris.Wrapf(errQuarantine, "entry %s: %s", entry, strings.TrimSpace(string(text)))
	}
	return text, nil
}
