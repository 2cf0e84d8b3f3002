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
	// softLimitShare is the share of the callers' connections beyond which idle ones are
	// closed and answers close their connections.
	softLimitShare = 0.6
	// defaultDescriptors is the assumed limit of the process if the settings name none.
	defaultDescriptors = 1024
)

// callerConns tracks and limits the open connections of callers.
//
// With many callers that each keep a connection, the process can run out of
// descriptors. Then Accept fails, the server waits up to a second before it tries
// again, and requests sent meanwhile are read after their callers have given up. So the
// least recently used idle connections are closed first, and beyond the limit a new
// connection is closed at once, which shows its caller that nothing was read.
type callerConns struct {
	clock timekeeper.Clock
	limit int

	mu   sync.Mutex
	open map[net.Conn]timekeeper.Instant
	idle int
}

// busy is the value in callerConns.open for a connection that is not idle.
const busy timekeeper.Instant = 0

func newCallerConns(clock timekeeper.Clock, descriptors int) *callerConns {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	limit := max(1, int(callerConnShare*float64(descriptors-reservedDescriptors)))
	return &callerConns{clock: clock, limit: limit, open: map[net.Conn]timekeeper.Instant{}}
}

// trackState is the server's ConnState hook.
func (callerConns *callerConns) trackState(conn net.Conn, state http.ConnState) {
	now := callerConns.clock.Now()
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	since, known := callerConns.open[conn]
	if known && since != busy {
		callerConns.idle--
	}
	switch state {
	case http.StateIdle:
		callerConns.open[conn] = now
		callerConns.idle++
	case http.StateNew, http.StateActive:
		callerConns.open[conn] = busy
	case http.StateClosed, http.StateHijacked:
		delete(callerConns.open, conn)
		if caller, ok := conn.(*callerConn); ok && state == http.StateClosed {
			caller.forceClose()
		}
	}
}

// nearLimit reports whether there are more connections than the soft limit, so that
// answers should close theirs.
func (callerConns *callerConns) nearLimit() bool {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	return float64(len(callerConns.open)) > softLimitShare*float64(callerConns.limit)
}

// full reports whether another connection would exceed the limit.
func (callerConns *callerConns) full() bool {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	return len(callerConns.open) >= callerConns.limit
}

// sweep closes connections that have been idle for longer than maxIdle and, beyond the
// soft limit, those that have been idle longest. A maxIdle of zero means no limit.
func (callerConns *callerConns) sweep(maxIdle timekeeper.Span) {
	now := callerConns.clock.Now()
	for _, conn := range callerConns.closable(maxIdle, now) {
		if caller, ok := conn.(*callerConn); ok {
			_ = caller.closeIdle()
			continue
		}
		_ = conn.Close()
	}
}

// count returns how many connections are open.
func (callerConns *callerConns) count() int {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	return len(callerConns.open)
}

func (callerConns *callerConns) closable(maxIdle timekeeper.Span, now timekeeper.Instant) []net.Conn {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	excess := len(callerConns.open) - int(softLimitShare*float64(callerConns.limit))
	cutoff := callerConns.idleCutoff(excess)
	var out []net.Conn
	for conn, since := range callerConns.open {
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
func (callerConns *callerConns) idleCutoff(excess int) timekeeper.Instant {
	if excess <= 0 || callerConns.idle == 0 {
		return busy
	}
	first, last := timekeeper.Instant(1<<62), busy
	for _, since := range callerConns.open {
		if since != busy {
			first, last = min(first, since), max(last, since)
		}
	}
	share := min(1, float64(excess)/float64(callerConns.idle))
	return first.Add(timekeeper.Span(share * float64(last.Since(first))))
}

// limitListener accepts connections up to the limit of callerConns.
type limitListener struct {
	net.Listener
	callerConns *callerConns
}

// Accept returns the next connection. It closes connections beyond the limit.
func (listener limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil || !listener.callerConns.full() {
			return conn, err
		}
		_ = conn.Close()
	}
}
