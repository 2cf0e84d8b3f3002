package assembler

import (
	"net"
	"net/http"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// reservedDescriptors are kept for files, the store, peers and metrics.
	reservedDescriptors = 300
	// callerConnShare is the share of the remaining descriptors that callers'
	// connections may take; the rest is for connections to replicas.
	callerConnShare = 0.7
	// softLimitShare is the share of the limit on callers' connections beyond which idle
	// ones are closed and answers close theirs.
	softLimitShare = 0.6
	// defaultDescriptors is the assumed limit of the process if the settings name none.
	defaultDescriptors = 1024
)

// connTracker tracks and limits the open connections of callers.
//
// With many callers that each keep a connection, the process can run out of
// descriptors. Then Accept fails, the server waits up to a second before it tries
// again, and requests sent meanwhile are read after their callers have given up. So the
// least recently used idle connections are closed first, and beyond the limit a new
// connection is closed at once, which shows its caller that nothing was read.
type connTracker struct {
	clock timekeeper.Clock
	limit int

	mu sync.Mutex
	// open maps each open connection to the instant since when it has been idle, or to
	// busy.
	open map[net.Conn]timekeeper.Instant
	// idleCount is the number of idle connections in open.
	idleCount int
}

// busy is the value in connTracker.open for a connection that is not idle.
const busy timekeeper.Instant = 0

func newConnTracker(clock timekeeper.Clock, descriptors int) *connTracker {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	limit := max(1, int(callerConnShare*float64(descriptors-reservedDescriptors)))
	return &connTracker{clock: clock, limit: limit, open: map[net.Conn]timekeeper.Instant{}}
}

// trackState is the server's ConnState hook.
func (tracker *connTracker) trackState(conn net.Conn, state http.ConnState) {
	now := tracker.clock.Now()
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	since, known := tracker.open[conn]
	if known && since != busy {
		tracker.idleCount--
	}
	switch state {
	case http.StateIdle:
		tracker.open[conn] = now
		tracker.idleCount++
	case http.StateNew, http.StateActive:
		tracker.open[conn] = busy
	case http.StateClosed, http.StateHijacked:
		delete(tracker.open, conn)
		if caller, ok := conn.(*callerConn); ok && state == http.StateClosed {
			caller.forceClose()
		}
	}
}

// nearLimit reports whether there are more connections than the soft limit, so that
// answers should close theirs.
func (tracker *connTracker) nearLimit() bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return float64(len(tracker.open)) > softLimitShare*float64(tracker.limit)
}

// full reports whether another connection would exceed the limit.
func (tracker *connTracker) full() bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return len(tracker.open) >= tracker.limit
}

// sweep closes connections that have been idle for longer than maxIdle and, beyond the
// soft limit, those that have been idle longest. A maxIdle of zero means no limit.
func (tracker *connTracker) sweep(maxIdle timekeeper.Span) {
	now := tracker.clock.Now()
	for _, conn := range tracker.closable(maxIdle, now) {
		if caller, ok := conn.(*callerConn); ok {
			_ = caller.closeIdle()
			continue
		}
		_ = conn.Close()
	}
}

// closeIdle closes the idle connections, and with unused set also those on which no request has ever begun to
// arrive.
func (tracker *connTracker) closeIdle(unused bool) {
	// The lock keeps their states: an answer that is still being written must not be cut off.
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for conn, since := range tracker.open {
		caller, ok := conn.(*callerConn)
		switch {
		case ok && since != busy:
			_ = caller.closeIdle()
		case ok && unused:
			_ = caller.closeUnused()
		}
	}
}

// count returns how many connections are open.
func (tracker *connTracker) count() int {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return len(tracker.open)
}

func (tracker *connTracker) closable(maxIdle timekeeper.Span, now timekeeper.Instant) []net.Conn {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	excess := len(tracker.open) - int(softLimitShare*float64(tracker.limit))
	cutoff := tracker.idleCutoff(excess)
	var out []net.Conn
	for conn, since := range tracker.open {
		if since == busy {
			continue
		}
		tooLong := maxIdle > 0 && now.Since(since) > maxIdle
		if tooLong || (excess > 0 && since <= cutoff) {
			out = append(out, conn)
		}
	}
	return out
}

// idleCutoff returns the instant such that about excess connections have been idle since
// before it. It assumes that idle times are spread evenly.
func (tracker *connTracker) idleCutoff(excess int) timekeeper.Instant {
	if excess <= 0 || tracker.idleCount == 0 {
		return busy
	}
	first, last := timekeeper.Instant(1<<62), busy
	for _, since := range tracker.open {
		if since != busy {
			first, last = min(first, since), max(last, since)
		}
	}
	share := min(1, float64(excess)/float64(tracker.idleCount))
	return first.Add(timekeeper.Span(share * float64(last.Since(first))))
}

// limitListener accepts connections up to the limit of its tracker.
type limitListener struct {
	net.Listener
	tracker *connTracker
	// sheds reports whether to close the next connection.
	sheds func() bool
}

// Accept returns the next connection. It closes connections beyond the limit and those that are shed.
func (listener limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil || !listener.tracker.full() && !listener.sheds() {
			return conn, err
		}
		_ = conn.Close()
	}
}
