package main

import (
	"context"
	"flag"
	"os"
	"syscall"

	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// envPrefix begins the environment variables that stand in for flags.
const envPrefix = "TREFOILSEAM"

// newLog returns a log that writes one JSON object a line.
func newLog(level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if level == "" {
		return log, nil
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(errUsage, "log level %q: write debug, info, warn or error", level)
	}
	log.SetLevel(parsed)
	return log, nil
}

// newEnvironment returns what a process gets from outside.
func newEnvironment(process loader.Process) (assembler.Environment, func(), error) {
	log, err := newLog(process.LogLevel)
	if err != nil {
		return assembler.Environment{}, nil, err
	}
	platform, closePlatform := storekeeper.Remote(process.Platform)
	return assembler.Environment{Clock: timekeeper.Wall(), Log: log, Platform: platform}, closePlatform, nil
}

// runGroup runs a group until an actor ends or the process is told to stop.
func runGroup(group *run.Group) error {
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err := group.Run()
	if eris.As(err, &run.SignalError{}) {
		return nil
	}
	return err
}

func settingsFlag(name string) (*flag.FlagSet, *string) {
	flags := flag.NewFlagSet("trefoilseam "+name, flag.ContinueOnError)
	return flags, flags.String("settings", "", "file with the settings of the process (TOML)")
}

func entryCommand() *ffcli.Command {
	flags, file := settingsFlag("entry")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "trefoilseam entry -settings FILE",
		ShortHelp:  "run an entry: the front that callers reach",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return runEntry(ctx, *file) },
	}
}

func runEntry(ctx context.Context, file string) error {
	settings, faults := loader.ReadEntry(file)
	if len(faults) > 0 {
		return faults
	}
	env, closePlatform, err := newEnvironment(settings.Process)
	if err != nil {
		return err
	}
	defer closePlatform()
	entry, release, err := assembler.NewEntry(ctx, settings, env)
	if err != nil {
		return err
	}
	defer release()
	var group run.Group
	entry.AddTo(&group)
	return runGroup(&group)
}

func agentCommand() *ffcli.Command {
	flags, file := settingsFlag("agent")
	return &ffcli.Command{
		Name:       "agent",
		ShortUsage: "trefoilseam agent -settings FILE",
		ShortHelp:  "run an agent: the process beside one upstream",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return runAgent(ctx, *file) },
	}
}

func runAgent(ctx context.Context, file string) error {
	settings, faults := loader.ReadAgent(file)
	if len(faults) > 0 {
		return faults
	}
	env, closePlatform, err := newEnvironment(settings.Process)
	if err != nil {
		return err
	}
	defer closePlatform()
	agent, release, err := assembler.NewAgent(ctx, settings, env)
	if err != nil {
		return err
	}
	defer release()
	var group run.Group
	agent.AddTo(&group)
	return runGroup(&group)
}
