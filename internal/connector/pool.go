package connector

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/validator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Errors of the pool. Each means that nothing was sent.
var (
	// ErrUnreachable is returned when opening a connection failed.
	ErrUnreachable = eris.New("the replica can't be reached")
	// ErrConnections is returned when all allowed connections to the replica are in use.
	ErrConnections = eris.New("every connection to the replica is in use")
)

// Settings set up a pool. Clock must be set.
type Settings struct {
	Clock timekeeper.Clock
	// DialTimeout bounds the opening of a connection; zero means 400 ms, which is far
	// above the round trip between data centres and below the shortest target.
	DialTimeout timekeeper.Span
	// AckTimeout bounds how long sent bytes may remain unacknowledged; zero means
	// 1.5 s, which allows for retransmissions of a lost packet after 200 ms,
	// 400 ms and 800 ms.
	AckTimeout timekeeper.Span
	// OnOpen is called before each attempt to open a connection, including those of
	// Probe; it may be nil.
	OnOpen func()
}

func (settings Settings) withDefaults() Settings {
	if settings.DialTimeout == 0 {
		settings.DialTimeout = 400 * timekeeper.Millisecond
	}
	if settings.AckTimeout == 0 {
		settings.AckTimeout = 1500 * timekeeper.Millisecond
	}
	if settings.OnOpen == nil {
		settings.OnOpen = func() {}
	}
	return settings
}

// Pool holds the connections to all replicas. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	mu sync.Mutex
	// replicas holds the connections by Target.Key.
	replicas map[string]*replica
}

// replica holds the connections to one replica.
type replica struct {
	idle []*connection
	// open counts the connections, including idle ones and those being opened.
	open int
}

// NewPool returns a pool and a function that closes its idle connections.
func NewPool(settings Settings) (*Pool, func()) {
	settings = settings.withDefaults()
	pool := &Pool{settings: settings, replicas: map[string]*replica{}}
	pool.dialer = net.Dialer{
		Timeout: settings.DialTimeout.Duration(),
		Control: UserTimeoutControl(settings.AckTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return pool, pool.closeIdle
}

// A connection is silent while the replica works on an answer. TCP keep-alive probes
// distinguish a working replica from an unreachable one within about three seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Target is the replica that an exchange is sent to.
type Target struct {
	// Key identifies the replica. Connections are never shared between two keys.
	Key string
	// Address is an IP address and a port.
	Address string
	// MaxConnections limits the connections of this process to the replica; zero means
	// no limit.
	MaxConnections int
}

// replica returns the connections for a key.
func (pool *Pool) replica(key string) *replica {
	found, ok := pool.replicas[key]
	if !ok {
		found = &replica{}
		pool.replicas[key] = found
	}
	return found
}

// acquire returns an idle connection that is still usable, or opens a new one.
func (pool *Pool) acquire(ctx context.Context, target Target) (*connection, error) {
	for {
		conn, reserved := pool.reserve(target)
		if conn == nil && !reserved {
			return nil, ErrConnections
		}
		if conn == nil {
			return pool.dial(ctx, target)
		}
		if conn.idleUntil > pool.settings.Clock.Now() && conn.clean() {
			return conn, nil
		}
		pool.discard(target, conn)
	}
}

// reserve returns the idle connection that was used last. Without one, it reserves a new
// connection unless the limit is reached, and reports whether it did.
func (pool *Pool) reserve(target Target) (conn *connection, reserved bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	replica := pool.replica(target.Key)
	if last := len(replica.idle) - 1; last >= 0 {
		conn = replica.idle[last]
		replica.idle = replica.idle[:last]
		return conn, false
	}
	if target.MaxConnections > 0 && replica.open >= target.MaxConnections {
		return nil, false
	}
	replica.open++
	return nil, true
}

// dial opens a connection that was reserved.
func (pool *Pool) dial(ctx context.Context, target Target) (*connection, error) {
	pool.settings.OnOpen()
	raw, err := pool.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		pool.release(target)
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	conn := validator.NewConn(raw)
	bound := &boundedReader{from: conn}
	return &connection{
		Conn: conn, reader: bufio.NewReaderSize(bound, readBufferSize), bound: bound, idleTimeout: defaultIdleTimeout,
	}, nil
}

// putIdle returns a connection to the pool for reuse.
func (pool *Pool) putIdle(target Target, conn *connection) {
	now := pool.settings.Clock.Now()
	conn.used = true
	conn.idleUntil = now.Add(conn.idleTimeout - idleTimeoutMargin)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	replica := pool.replica(target.Key)
	replica.idle = append(replica.idle, conn)
}

// discard closes a connection and no longer counts it.
func (pool *Pool) discard(target Target, conn *connection) {
	_ = conn.Close()
	pool.release(target)
}

// release no longer counts a connection that was closed or not opened.
func (pool *Pool) release(target Target) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	replica := pool.replica(target.Key)
	replica.open--
	if replica.open <= 0 && len(replica.idle) == 0 {
		delete(pool.replicas, target.Key)
	}
}

// Probe opens and closes a connection to check whether the replica accepts
// connections. It returns ErrUnreachable if it doesn't.
func (pool *Pool) Probe(ctx context.Context, address string) error {
	pool.settings.OnOpen()
	raw, err := pool.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return raw.Close()
}

// IsRefused reports whether nothing listens at an address. It opens and closes a connection otherwise.
func (pool *Pool) IsRefused(ctx context.Context, address string) bool {
	pool.settings.OnOpen()
	raw, err := pool.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = raw.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// HasClosedIdle reports whether a replica has closed the connection to it that was last put back, before it
// expired, and no longer counts that connection.
func (pool *Pool) HasClosedIdle(key string) bool {
	now := pool.settings.Clock.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	replica, found := pool.replicas[key]
	if !found || len(replica.idle) == 0 {
		return false
	}
	last := len(replica.idle) - 1
	conn := replica.idle[last]
	if conn.idleUntil <= now || conn.clean() {
		return false
	}
	_ = conn.Close()
	replica.idle = replica.idle[:last]
	replica.open--
	return true
}

// IsConnected reports whether there is a connection to a replica.
func (pool *Pool) IsConnected(key string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	replica, found := pool.replicas[key]
	return found && replica.open > 0
}

// Retire closes the idle connections to a replica that is unreachable or removed.
func (pool *Pool) Retire(key string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	replica, found := pool.replicas[key]
	if !found {
		return
	}
	for _, conn := range replica.idle {
		_ = conn.Close()
		replica.open--
	}
	replica.idle = nil
	if replica.open <= 0 {
		delete(pool.replicas, key)
	}
}

// Sweep closes idle connections that have expired.
func (pool *Pool) Sweep() {
	now := pool.settings.Clock.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, replica := range pool.replicas {
		kept := replica.idle[:0]
		for _, conn := range replica.idle {
			if conn.idleUntil > now {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
			replica.open--
		}
		clear(replica.idle[len(kept):])
		replica.idle = kept
	}
}

// OpenConnections returns the number of open connections, including idle ones.
func (pool *Pool) OpenConnections() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	total := 0
	for _, replica := range pool.replicas {
		total += replica.open
	}
	return total
}

func (pool *Pool) closeIdle() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, replica := range pool.replicas {
		for _, conn := range replica.idle {
			_ = conn.Close()
		}
		replica.idle = nil
	}
}
