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
	"github.com/trefoilseam/trefoilseam/internal/logger"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// envPrefix begins the environment variables that stand in for flags.
const envPrefix = "TREFOILSEAM"

// newLog returns a log that writes one JSON object a line.
func newLog(level string) (*logrus.Logger, error) {
	return newLogIn(logger.JSON, level)
}

// newLogIn returns a log in a format.
func newLogIn(format logger.Format, level string) (*logrus.Logger, error) {
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

// newEnvironment returns what a process gets from outside.
func newEnvironment(process loader.Process) (assembler.Environment, func(), error) {
	log, err := newLog(process.LogLevel)
	if err != nil {
		return assembler.Environment{}, nil, err
	}
	platform, closePlatform := storekeeper.Remote(process.Platform)
	return assembler.Environment{Clock: timekeeper.SinceBoot(), Log: log, Platform: platform}, closePlatform, nil
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

// kindOfProcess is what sets the command of one kind of process apart. S is its settings.
type kindOfProcess[S any] struct {
	name, help string
	read       func(file string) (S, resolver.Faults)
	common     func(settings S) loader.Process
	// build returns the process and its clean-up.
	build func(ctx context.Context, settings S, env assembler.Environment) (built, func(), error)
}

// built is a process that is ready to run.
type built struct {
	addTo func(group *run.Group)
	// cut tells, once the group has ended, what the stop cut off; nil means that
	// the process has nothing to tell.
	cut func() error
}

// run runs the process. A group ends with the error of the actor that ended
// first, which in a stop is the signal; what the stop cut off comes later.
func (process built) run() error {
	var group run.Group
	process.addTo(&group)
	err := runGroup(&group)
	if err == nil && process.cut != nil {
		return process.cut()
	}
	return err
}

// entryCommand runs an entry, or, with -direct, one that needs no agents.
func entryCommand() *ffcli.Command {
	command := offeringEntryCommand()
	direct := command.FlagSet.Bool("direct", false, "send requests to replicas without agents, as the platform's store lists them")
	offer := command.Exec
	command.Exec = func(ctx context.Context, args []string) error {
		if *direct {
			return runDirect(ctx, command.FlagSet.Lookup("settings").Value.String())
		}
		return offer(ctx, args)
	}
	return command
}

func offeringEntryCommand() *ffcli.Command {
	return processCommand(kindOfProcess[loader.Entry]{
		name:   "entry",
		help:   "run an entry: the front that callers reach",
		read:   loader.ReadEntry,
		common: func(settings loader.Entry) loader.Process { return settings.Process },
		build: func(ctx context.Context, settings loader.Entry, env assembler.Environment) (built, func(), error) {
			entry, release, err := assembler.NewEntry(ctx, settings, env)
			if err != nil {
				return built{}, nil, err
			}
			return built{addTo: entry.AddTo}, release, nil
		},
	})
}

func agentCommand() *ffcli.Command {
	return processCommand(kindOfProcess[loader.Agent]{
		name:   "agent",
		help:   "run an agent: the process beside one upstream",
		read:   loader.ReadAgent,
		common: func(settings loader.Agent) loader.Process { return settings.Process },
		build: func(ctx context.Context, settings loader.Agent, env assembler.Environment) (built, func(), error) {
			agent, release, err := assembler.NewAgent(ctx, settings, env)
			if err != nil {
				return built{}, nil, err
			}
			return built{addTo: agent.AddTo, cut: agent.DrainError}, release, nil
		},
	})
}

func processCommand[S any](kind kindOfProcess[S]) *ffcli.Command {
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

// run runs one process until it is told to stop.
func (kind kindOfProcess[S]) run(ctx context.Context, file string) error {
	if file == "" {
		return eris.Wrapf(errUsage, "name the settings: trefoilseam %s -settings FILE", kind.name)
	}
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
