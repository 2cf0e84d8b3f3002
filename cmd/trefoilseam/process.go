package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/logger"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// envPrefix is the prefix of environment variables that set flags.
const envPrefix = "TREFOILSEAM"

// newLog returns a logger that writes one JSON object per line.
func newLog(level string) (*logrus.Logger, error) {
	return newLogWithFormat(logger.JSON, level)
}

// newLogWithFormat returns a logger that writes lines in format.
func newLogWithFormat(format logger.Format, level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetFormatter(format.Formatter())
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

// newEnvironment returns the clock, logger and platform client of a process, and a
// function that closes the client.
func newEnvironment(process loader.Process) (assembler.Environment, func(), error) {
	log, err := newLog(process.LogLevel)
	if err != nil {
		return assembler.Environment{}, nil, err
	}
	platform, closePlatform := storekeeper.Remote(process.Platform)
	return assembler.Environment{Clock: timekeeper.SinceBoot(), Log: log, Platform: platform}, closePlatform, nil
}

// ignoreBrokenPipes makes writes to standard output and standard error fail when their reader has ended.
// By default they end the process.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// runGroup runs a group until an actor returns or SIGINT or SIGTERM arrives.
func runGroup(group *run.Group) error {
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err := group.Run()
	if eris.As(err, &run.SignalError{}) {
		return nil
	}
	return err
}

// processKind describes the command of one kind of process with settings of type S.
type processKind[S any] struct {
	name, help string
	read       func(file string) (S, resolver.Faults)
	common     func(settings S) loader.Process
	// build returns the process and a function that releases its resources.
	build func(ctx context.Context, settings S, env assembler.Environment) (builtProcess, func(), error)
}

// builtProcess is a process that is ready to run.
type builtProcess struct {
	addTo func(group *run.Group)
	// drainError reports the calls that the stop cut off. It is called after the group
	// has ended; a nil drainError means that the process has nothing to report.
	drainError func() error
}

// run runs the process. The group returns only the error of the actor that ended first.
// During a stop that actor is the signal handler, so run calls drainError after the group
// has ended.
func (process builtProcess) run() error {
	var group run.Group
	process.addTo(&group)
	err := runGroup(&group)
	if err == nil && process.drainError != nil {
		return process.drainError()
	}
	return err
}

// entryCommand returns the command that runs an entry; with -direct, the entry sends
// requests directly to replicas, not through agents.
func entryCommand() *ffcli.Command {
	command := entryWithAgentsCommand()
	direct := command.FlagSet.Bool("direct", false, "send requests to replicas without agents, as the platform's store lists them")
	runWithAgents := command.Exec
	command.Exec = func(ctx context.Context, args []string) error {
		if *direct {
			return runDirect(ctx, command.FlagSet.Lookup("settings").Value.String())
		}
		return runWithAgents(ctx, args)
	}
	return command
}

func entryWithAgentsCommand() *ffcli.Command {
	return processCommand(processKind[loader.Entry]{
		name:   "entry",
		help:   "run an entry: the front that callers reach",
		read:   loader.ReadEntry,
		common: func(settings loader.Entry) loader.Process { return settings.Process },
		build: func(ctx context.Context, settings loader.Entry, env assembler.Environment) (builtProcess, func(), error) {
			entry, release, err := assembler.NewEntry(ctx, settings, env)
			if err != nil {
				return builtProcess{}, nil, err
			}
			return builtProcess{addTo: entry.AddTo}, release, nil
		},
	})
}

func agentCommand() *ffcli.Command {
	return processCommand(processKind[loader.Agent]{
		name:   "agent",
		help:   "run an agent: the process beside one upstream",
		read:   loader.ReadAgent,
		common: func(settings loader.Agent) loader.Process { return settings.Process },
		build: func(ctx context.Context, settings loader.Agent, env assembler.Environment) (builtProcess, func(), error) {
			agent, release, err := assembler.NewAgent(ctx, settings, env)
			if err != nil {
				return builtProcess{}, nil, err
			}
			return builtProcess{addTo: agent.AddTo, drainError: agent.DrainError}, release, nil
		},
	})
}

func processCommand[S any](kind processKind[S]) *ffcli.Command {
	flags := flag.NewFlagSet("trefoilseam "+kind.name, flag.ContinueOnError)
	file := flags.String("settings", "", "file with the settings of the process (TOML)")
	return &ffcli.Command{
		Name:       kind.name,
		ShortUsage: "trefoilseam " + kind.name + " -settings FILE",
		ShortHelp:  kind.help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return kind.run(ctx, *file) },
	}
}

// run reads the settings, then builds and runs the process until it is stopped.
func (kind processKind[S]) run(ctx context.Context, file string) error {
	if file == "" {
		return eris.Wrapf(errUsage, "name the settings: trefoilseam %s -settings FILE", kind.name)
	}
	ignoreBrokenPipes()
	settings, faults := kind.read(file)
	if len(faults) > 0 {
		return faults
	}
	env, closePlatform, err := newEnvironment(kind.common(settings))
	if err != nil {
		return err
	}
	defer closePlatform()
	process, release, err := kind.build(ctx, settings, env)
	if err != nil {
		return err
	}
	defer release()
	return process.run()
}
