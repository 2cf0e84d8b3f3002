package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/logger"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// lastLines is how long a process that ends waits for its log to be read.
const lastLines = 200 * timekeeper.Millisecond

// runDirect runs an entry that sends requests to replicas itself, until it is
// told to stop.
func runDirect(ctx context.Context, file string) error {
	if file == "" {
		return eris.Wrap(errUsage, "name the settings: trefoilseam entry -direct -settings FILE")
	}
	// First of all: a hang-up that comes before it is asked for ends the process. An
	// operator who changes settings while entries start would lose entries.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	settings, faults := loader.ReadDirect(file)
	if len(faults) > 0 {
		return faults
	}
	log, err := newLogIn(settings.LogFormat, settings.LogLevel)
	if err != nil {
		return err
	}
	dropped, flush := queueLog(log)
	defer flush()
	from := assembler.DirectEnvironment{Log: log, DroppedLines: dropped, ReloadSignals: hangUps}
	direct, release, err := assembler.NewDirect(ctx, settings, file, from)
	if err != nil {
		return err
	}
	defer release()
	var group run.Group
	direct.AddTo(&group)
	return runGroup(&group)
}

// queueLog sends the log to standard output through a queue that never blocks,
// and returns how many lines were dropped, and a function that writes what waits.
func queueLog(log *logrus.Logger) (dropped func() int64, flush func()) {
	lost := func(dropped int64) []byte { return linesDropped(log, dropped) }
	queue, release := logger.NewQueue(os.Stdout, lost)
	log.SetOutput(queue)
	return queue.Dropped, func() {
		giveUp := make(chan struct{})
		fired, stop := timekeeper.Steady().After(lastLines)
		defer stop()
		go func() { <-fired; close(giveUp) }()
		release(giveUp)
	}
}

// linesDropped returns the line that tells of lines that were dropped.
func linesDropped(log *logrus.Logger, dropped int64) []byte {
	entry := log.WithField("dropped", dropped)
	entry.Level, entry.Message, entry.Time = logrus.WarnLevel, "log lines dropped", timekeeper.Wall().Now().Time()
	line, err := entry.Bytes()
	if err != nil {
		return []byte("log lines dropped\n")
	}
	return line
}
