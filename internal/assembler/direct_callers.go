package assembler

import (
	"net"
	"net/http"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// otherDescriptors are kept for files, the store, peers and metrics.
	otherDescriptors = 300
	// callerShare is the part of the descriptors left that callers' connections
	// may take; the rest is for connections to replicas.
	callerShare = 0.7
	// easyShare is the part of the callers' connections from which idle ones are
	// closed and callers are asked to leave after their answer.
	easyShare = 0.6
	// defaultDescriptors is assumed where the settings name none.
	defaultDescriptors = 1024
)

// callers are the connections of callers.
//
// The load: many callers at once, each with a connection of its own that it
// keeps. The harm: without descriptors no connection is taken, the server waits
// up to a second before it tries again, and requests that were sent meanwhile are
// read when their callers have left. The idle connections that were used longest
// ago are closed first; beyond the limit a connection is closed at once, which
// tells its caller that nothing was read.
type callers struct {
	clock timekeeper.Clock
	most  int

	mu   sync.Mutex
	open map[net.Conn]timekeeper.Instant
	idle int
}

// busy marks a connection that is not idle.
const busy timekeeper.Instant = 0

func newCallers(clock timekeeper.Clock, descriptors int) *callers {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	most := max(1, int(callerShare*float64(descriptors-otherDescriptors)))
	return &callers{clock: clock, most: most, open: map[net.Conn]timekeeper.Instant{}}
}

// watch is the hook of the server for each change of a connection's state.
func (callers *callers) watch(conn net.Conn, state http.ConnState) {
	now := callers.clock.Now()
	callers.mu.Lock()
	defer callers.mu.Unlock()
	since, known := callers.open[conn]
	if known && since != busy {
		callers.idle--
	}
	switch state {
	case http.StateIdle:
		callers.open[conn] = now
		callers.idle++
	case http.StateNew, http.StateActive:
		callers.open[conn] = busy
	case http.StateClosed, http.StateHijacked:
		delete(callers.open, conn)
		if caller, ok := conn.(*callerConn); ok && state == http.StateClosed {
			caller.abandon()
		}
	}
}

// crowded reports whether callers should leave after their answer.
func (callers *callers) crowded() bool {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	return float64(len(callers.open)) > easyShare*float64(callers.most)
}

// full reports whether another connection would be one too many.
func (callers *callers) full() bool {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	return len(callers.open) >= callers.most
}

// sweep closes connections that have been idle for longer than a span, and, when
// there are many, those that have been idle longest. A span of zero means any.
func (callers *callers) sweep(longest timekeeper.Span) {
	now := callers.clock.Now()
	for _, conn := range callers.closable(longest, now) {
		if caller, ok := conn.(*callerConn); ok {
			_ = caller.closeIdle()
			continue
		}
		_ = conn.Close()
	}
}

// count returns how many connections are open.
func (callers *callers) count() int {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	return len(callers.open)
}

func (callers *callers) closable(longest timekeeper.Span, now timekeeper.Instant) []net.Conn {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	over := len(callers.open) - int(easyShare*float64(callers.most))
	limit := callers.limitOf(over)
	var out []net.Conn
	for conn, since := range callers.open {
		if since == busy {
			continue
		}
		tooLong := longest > 0 && now.Since(since) > longest
		if tooLong || (over > 0 && since <= limit) {
			out = append(out, conn)
		}
	}
	return out
}

// limitOf returns the instant such that about so many connections have been idle
// since before it: idle times are taken to be spread evenly.
func (callers *callers) limitOf(over int) timekeeper.Instant {
	if over <= 0 || callers.idle == 0 {
		return busy
	}
	first, last := timekeeper.Instant(1<<62), busy
	for _, since := range callers.open {
		if since != busy {
			first, last = min(first, since), max(last, since)
		}
	}
	share := min(1, float64(over)/float64(callers.idle))
	return first.Add(timekeeper.Span(share * float64(last.Since(first))))
}

// boundedListener takes connections while there is room for them.
type boundedListener struct {
	net.Listener
	callers *callers
}

// Accept returns the next connection; one that is too many is closed.
func (listener boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil || !listener.callers.full() {
			return conn, err
		}
		_ = conn.Close()
	}
}
