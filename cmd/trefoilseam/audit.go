package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/explainer"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/internal/verifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Outcomes of an audit that end with exit code 1.
var (
	errNotHeld  = eris.New("not every promise is shown to have held")
	errTampered = eris.New("the record is not as it was written")
	errMixed    = eris.New("streams went on at another software version than the one that began them")
	errCrashes  = eris.New("requests with a quarantined part of their prompts reached replicas")
)

// recordFlushDelay is how long before now a report ends by default: later records of
// live processes may not have been flushed yet.
const recordFlushDelay = 30 * timekeeper.Second

// auditFlags holds the flags that all audit commands share.
type auditFlags struct {
	platform *string
	asJSON   *bool
}

func newAuditFlags(name string) (*flag.FlagSet, auditFlags) {
	flags := flag.NewFlagSet("trefoilseam audit "+name, flag.ContinueOnError)
	return flags, auditFlags{
		platform: flags.String("platform", "", "base address of the platform, such as http://127.0.0.1:7000"),
		asJSON:   flags.Bool("json", false, "print JSON"),
	}
}

func auditCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "audit",
		ShortUsage:  "trefoilseam audit crashes|report|streams|verify [flags]",
		ShortHelp:   "check the fleet's own record",
		FlagSet:     flag.NewFlagSet("trefoilseam audit", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{auditCrashesCommand(), auditReportCommand(), auditStreamsCommand(), auditVerifyCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func auditCrashesCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "crashes",
		ShortUsage: "trefoilseam audit crashes [FILE...]",
		ShortHelp:  "find parts of prompts that were in flight at crashes, in the logs of entries",
		LongHelp: "Reads the logs of all entries without agents from the files, or from standard input. Ends\n" +
			"with 1 if requests with a quarantined part reached replicas that crashed, once all entries\n" +
			"had to know of it.",
		FlagSet: flag.NewFlagSet("trefoilseam audit crashes", flag.ContinueOnError),
		Exec:    func(_ context.Context, args []string) error { return auditCrashes(os.Stdout, args) },
	}
}

func auditCrashes(out io.Writer, files []string) error {
	logs, release, err := openLogs(files)
	if err != nil {
		return err
	}
	defer release()
	report, err := explainer.CheckCrashes(logs...)
	if err != nil {
		return err
	}
	if err := report.Write(out); err != nil {
		return err
	}
	if !report.Held() {
		return errCrashes
	}
	return nil
}

func auditStreamsCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "streams",
		ShortUsage: "trefoilseam audit streams [FILE...]",
		ShortHelp:  "find streams that went on at another software version, in the logs of entries",
		LongHelp: "Reads the logs of all entries without agents from the files, or from standard input. Ends\n" +
			"with 1 if a stream was sent to a replica of another version than the one that began it.",
		FlagSet: flag.NewFlagSet("trefoilseam audit streams", flag.ContinueOnError),
		Exec:    func(_ context.Context, args []string) error { return auditStreams(os.Stdout, args) },
	}
}

func auditStreams(out io.Writer, files []string) error {
	logs, release, err := openLogs(files)
	if err != nil {
		return err
	}
	defer release()
	report, err := explainer.CheckStreams(logs...)
	if err != nil {
		return err
	}
	if err := report.Write(out); err != nil {
		return err
	}
	if len(report.Mixed) > 0 {
		return errMixed
	}
	return nil
}

func auditVerifyCommand() *ffcli.Command {
	flags, common := newAuditFlags("verify")
	return &ffcli.Command{
		Name:       "verify",
		ShortUsage: "trefoilseam audit verify -platform ADDRESS [-json]",
		ShortHelp:  "find every changed, dropped or moved record",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			trail, err := common.trail(ctx)
			if err != nil {
				return err
			}
			if err := common.print(trail.Summary(), trail.WriteText); err != nil {
				return err
			}
			if len(trail.Findings) > 0 {
				return errTampered
			}
			return nil
		},
	}
}

func auditReportCommand() *ffcli.Command {
	flags, common := newAuditFlags("report")
	from := flags.String("from", "", "start of the time to judge, RFC 3339; empty means the last 24 hours")
	until := flags.String("until", "", "end of the time to judge, RFC 3339; empty means 30 seconds ago")
	page := flags.String("html", "", "file to write the report to as a page")
	skew := flags.Duration("skew", 0, "how far clocks of processes may differ; 0 means 500ms")
	leave := flags.Duration("leave-within", 0, "how long a leaving replica may take new work; 0 means 3s")
	inForce := flags.Duration("in-force-within", 0, "how long a configuration may take to be in force; 0 means 13s")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "trefoilseam audit report -platform ADDRESS [-from TIME] [-until TIME] [-json] [-html FILE]",
		ShortHelp:  "say of each promise whether it held",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			settings, err := auditRange(*from, *until)
			if err != nil {
				return err
			}
			settings.ClockSkew = timekeeper.Span(skew.Milliseconds())
			settings.LeaveWithin = timekeeper.Span(leave.Milliseconds())
			settings.InForceWithin = timekeeper.Span(inForce.Milliseconds())
			return common.report(ctx, settings, *page)
		},
	}
}

// auditRange parses the time range of a report.
func auditRange(from, until string) (verifier.Settings, error) {
	now := timekeeper.Wall().Now()
	settings := verifier.Settings{From: now.Add(-24 * timekeeper.Hour), Until: now.Add(-recordFlushDelay)}
	if err := readTime("from", from, &settings.From); err != nil {
		return settings, err
	}
	if err := readTime("until", until, &settings.Until); err != nil {
		return settings, err
	}
	if settings.Until <= settings.From {
		return settings, eris.Wrapf(errUsage, "-until %s is not after -from %s", settings.Until, settings.From)
	}
	return settings, nil
}

func readTime(name, text string, out *timekeeper.Instant) error {
	if text == "" {
		return nil
	}
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return eris.Wrapf(errUsage, "-%s is %q; write a time such as 2026-01-31T06:00:00Z", name, text)
	}
	*out = timekeeper.FromTime(parsed)
	return nil
}

// trail fetches and verifies the whole record.
func (common auditFlags) trail(ctx context.Context) (verifier.Trail, error) {
	if *common.platform == "" {
		return verifier.Trail{}, eris.Wrap(errUsage, "-platform is missing")
	}
	platform, closePlatform := storekeeper.Remote(*common.platform)
	defer closePlatform()
	objects, err := verifier.Fetch(ctx, platform.Objects, timekeeper.Wall())
	if err != nil {
		return verifier.Trail{}, err
	}
	return verifier.Verify(objects), nil
}

func (common auditFlags) report(ctx context.Context, settings verifier.Settings, page string) error {
	trail, err := common.trail(ctx)
	if err != nil {
		return err
	}
	report := verifier.Evaluate(trail, settings)
	if page != "" {
		if err := writePage(report, page); err != nil {
			return err
		}
	}
	if err := common.print(report, report.WriteText); err != nil {
		return err
	}
	if !report.Held() {
		return errNotHeld
	}
	return nil
}

func (common auditFlags) print(value any, text func(io.Writer)) error {
	if !*common.asJSON {
		text(os.Stdout)
		return nil
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return eris.Wrap(out.Encode(value), "print")
}

func writePage(report verifier.Report, page string) error {
	file, err := os.Create(page)
	if err != nil {
		return eris.Wrap(err, "page")
	}
	if err := report.WriteHTML(file); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "page")
}
