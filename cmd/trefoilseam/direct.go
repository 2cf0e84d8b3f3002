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

// logFlushTimeout bounds how long an exiting process waits until its queued log
// lines are written.
const logFlushTimeout = 200 * timekeeper.Millisecond

// runDirect runs an entry that sends requests directly to replicas, not through agents,
// until it is stopped.
func runDirect(ctx context.Context, file string) error {
	if file == "" {
		return eris.Wrap(errUsage, "name the settings: trefoilseam entry -direct -settings FILE")
	}
	// Registered first: a SIGHUP without a handler ends the process, so an operator who
	// reloads settings while entries start would lose entries.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	ignoreBrokenPipes()
	settings, faults := loader.ReadDirect(file)
	if len(faults) > 0 {
		return faults
	}
	log, err := newLogWithFormat(settings.LogFormat, settings.LogLevel)
	if err != nil {
		return err
	}
	dropped, flush := queueLog(log)
	defer flush()
	env := assembler.DirectEnvironment{Log: log, DroppedLines: dropped, ReloadSignals: reloadSignals}
	direct, release, err := assembler.NewDirect(ctx, settings, file, env)
	if err != nil {
		return err
	}
	defer release()
	var group run.Group
	direct.AddTo(&group)
	return runGroup(&group)
}

// queueLog sends log to standard output through a non-blocking queue. dropped returns
// the number of dropped lines; flush writes the queued lines and stops the queue, and
// gives up after logFlushTimeout.
func queueLog(log *logrus.Logger) (dropped func() int64, flush func()) {
	formatDropped := func(dropped int64) []byte { return formatDroppedLines(log, dropped) }
	queue, release := logger.NewQueue(os.Stdout, formatDropped)
	log.SetOutput(queue)
	return queue.Dropped, func() {
		giveUp := make(chan struct{})
		fired, stop := timekeeper.Steady().After(logFlushTimeout)
		defer stop()
		go func() { <-fired; close(giveUp) }()
		release(giveUp)
	}
}

// formatDroppedLines returns a log line that reports the number of dropped lines.
func formatDroppedLines(log *logrus.Logger, dropped int64) []byte {
	entry := log.WithField("dropped", dropped)
	entry.Level, entry.Message, entry.Time = logrus.WarnLevel, "log lines dropped", timekeeper.Wall().Now().Time()
	line, err := entry.Bytes()
	if err != nil {
		return []byte("log lines dropped\n")
	}
	return line
}
