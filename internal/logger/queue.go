package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the queue. A line has about 300 bytes, so a stalled reader
// costs 600 KB.
const maxQueuedLines = 2048

// Queue is an io.Writer of log lines that never blocks and drops lines when full.
type Queue struct {
	lines         chan []byte
	unreported    atomic.Int64
	droppedTotal  atomic.Int64
	out           io.Writer
	formatDropped func(unreported int64) []byte
	done          chan struct{}
	stopOnce      sync.Once
	stop          chan struct{}
}

// NewQueue returns a queue that writes to out, and a function that writes the queued
// lines and stops the queue. If the reader of out stalls, that function returns when
// giveUp is closed. formatDropped returns the line that reports dropped lines, given
// their number since the last report.
func NewQueue(out io.Writer, formatDropped func(unreported int64) []byte) (queue *Queue, release func(giveUp <-chan struct{})) {
	queue = &Queue{
		lines: make(chan []byte, maxQueuedLines), out: out, formatDropped: formatDropped, done: make(chan struct{}), stop: make(chan struct{}),
	}
	go queue.run()
	return queue, queue.release
}

// Write queues one line. It reports success even when it drops the line.
func (queue *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case queue.lines <- copied:
	default:
		queue.countDropped(1)
	}
	return len(line), nil
}

func (queue *Queue) countDropped(lines int64) {
	queue.unreported.Add(lines)
	queue.droppedTotal.Add(lines)
}

// Dropped returns the number of lines dropped since the start.
func (queue *Queue) Dropped() int64 { return queue.droppedTotal.Load() }

func (queue *Queue) run() {
	defer close(queue.done)
	for {
		select {
		case line := <-queue.lines:
			queue.write(line)
		case <-queue.stop:
			queue.drain()
			return
		}
	}
}

// write writes a line, after one on the lines that were dropped. A line that can't be written counts as
// dropped.
func (queue *Queue) write(line []byte) {
	if unreported := queue.unreported.Swap(0); unreported > 0 {
		if _, err := queue.out.Write(queue.formatDropped(unreported)); err != nil {
			queue.unreported.Add(unreported)
		}
	}
	if _, err := queue.out.Write(line); err != nil {
		queue.countDropped(1)
	}
}

func (queue *Queue) drain() {
	for {
		select {
		case line := <-queue.lines:
			queue.write(line)
		default:
			return
		}
	}
}

func (queue *Queue) release(giveUp <-chan struct{}) {
	queue.stopOnce.Do(func() { close(queue.stop) })
	select {
	case <-queue.done:
	case <-giveUp:
	}
}
