package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// room is how many lines wait at most. A line has about 300 bytes, so a stalled
// reader costs 600 KB.
const room = 2048

// Queue is an io.Writer that never blocks.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	out     io.Writer
	lost    func(dropped int64) []byte
	done    chan struct{}
	closing sync.Once
	stop    chan struct{}
}

// NewQueue returns a queue before out, and a function that writes what waits
// and ends it. lost returns the line that tells how many were dropped. A reader that stalls for good holds up that function only until
// the giveUp channel is closed.
func NewQueue(out io.Writer, lost func(dropped int64) []byte) (queue *Queue, release func(giveUp <-chan struct{})) {
	queue = &Queue{
		lines: make(chan []byte, room), out: out, lost: lost, done: make(chan struct{}), stop: make(chan struct{}),
	}
	go queue.run()
	return queue, queue.release
}

// Write queues one line. It reports success also when the line was dropped.
func (queue *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case queue.lines <- copied:
	default:
		queue.dropped.Add(1)
		queue.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (queue *Queue) Dropped() int64 { return queue.total.Load() }

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

func (queue *Queue) write(line []byte) {
	if dropped := queue.dropped.Swap(0); dropped > 0 {
		_, _ = queue.out.Write(queue.lost(dropped))
	}
	_, _ = queue.out.Write(line)
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
	queue.closing.Do(func() { close(queue.stop) })
	select {
	case <-queue.done:
	case <-giveUp:
	}
}
