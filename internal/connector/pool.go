package connector

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Errors of the pool. All of them mean that nothing was sent.
var (
	// ErrUnreachable is returned when no connection could be opened.
	ErrUnreachable = eris.New("the replica can't be reached")
	// ErrConnections is returned when every connection to the replica is in use.
	ErrConnections = eris.New("every connection to the replica is in use")
)

// Settings set up a pool. Clock must be set.
type Settings struct {
	Clock timekeeper.Clock
	// DialTimeout bounds the opening of a connection; zero means 400 ms, which is far
	// over the round trip between data centres and under the shortest target.
	DialTimeout timekeeper.Span
	// AckTimeout bounds how long sent bytes may go without an
	// acknowledgement; zero means 1.5 s: a lost packet is sent again after 200
	// ms, then 400 and 800.
	AckTimeout timekeeper.Span
	// OnOpen counts new connections; nil means that they aren't counted.
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

// Pool keeps the connections to all replicas. Its methods may be called from
// several goroutines.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is what is kept for one replica.
type peer struct {
	idle []*connection
	open int
}

// NewPool returns a pool and a function that closes what it keeps idle.
func NewPool(settings Settings) (*Pool, func()) {
	settings = settings.withDefaults()
	pool := &Pool{settings: settings, peers: map[string]*peer{}}
	pool.dialer = net.Dialer{
		Timeout: settings.DialTimeout.Duration(),
		Control: UserTimeoutControl(settings.AckTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return pool, pool.closeIdle
}

// A connection that waits for an answer is silent for as long as the replica
// works. Probes of the kernel tell a replica that works from one that is gone
// within about three seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Target is where an exchange goes.
type Target struct {
	// Key names the replica's incarnation; connections are never shared between two.
	Key string
	// Address is an IP number and a port.
	Address string
	// MaxConnections is the most that this process opens to the replica.
	MaxConnections int
}

func (pool *Pool) peer(key string) *peer {
	found, ok := pool.peers[key]
	if !ok {
		found = &peer{}
		pool.peers[key] = found
	}
	return found
}

// take returns a kept connection that is sound, or opens one.
func (pool *Pool) take(ctx context.Context, target Target) (*connection, error) {
	for {
		conn, opens := pool.reserve(target)
		if conn == nil && !opens {
			return nil, ErrConnections
		}
		if conn == nil {
			return pool.open(ctx, target)
		}
		if conn.idleUntil > pool.settings.Clock.Now() && conn.clean() {
			return conn, nil
		}
		pool.drop(target, conn)
	}
}

// reserve returns the connection that was used last, or a place for a new one.
func (pool *Pool) reserve(target Target) (conn *connection, opens bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer := pool.peer(target.Key)
	if last := len(peer.idle) - 1; last >= 0 {
		conn = peer.idle[last]
		peer.idle = peer.idle[:last]
		return conn, false
	}
	if target.MaxConnections > 0 && peer.open >= target.MaxConnections {
		return nil, false
	}
	peer.open++
	return nil, true
}

func (pool *Pool) open(ctx context.Context, target Target) (*connection, error) {
	pool.settings.OnOpen()
	raw, err := pool.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		pool.forget(target)
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), silent: defaultIdle}, nil
}

// keep puts a connection back after a whole exchange.
func (pool *Pool) keep(target Target, conn *connection) {
	now := pool.settings.Clock.Now()
	conn.used = true
	conn.idleUntil = now.Add(conn.silent - idleMargin)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer := pool.peer(target.Key)
	peer.idle = append(peer.idle, conn)
}

// drop closes a connection.
func (pool *Pool) drop(target Target, conn *connection) {
	_ = conn.Close()
	pool.forget(target)
}

func (pool *Pool) forget(target Target) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer := pool.peer(target.Key)
	peer.open--
	if peer.open <= 0 && len(peer.idle) == 0 {
		delete(pool.peers, target.Key)
	}
}

// Probe opens a connection and closes it, to learn whether the replica still
// takes any. It returns ErrUnreachable when it doesn't.
func (pool *Pool) Probe(ctx context.Context, address string) error {
	pool.settings.OnOpen()
	raw, err := pool.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return raw.Close()
}

// Retire closes the idle connections of a replica that is gone.
func (pool *Pool) Retire(key string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer, found := pool.peers[key]
	if !found {
		return
	}
	for _, conn := range peer.idle {
		_ = conn.Close()
		peer.open--
	}
	peer.idle = nil
	if peer.open <= 0 {
		delete(pool.peers, key)
	}
}

// Sweep closes connections that have been idle for too long.
func (pool *Pool) Sweep() {
	now := pool.settings.Clock.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, peer := range pool.peers {
		kept := peer.idle[:0]
		for _, conn := range peer.idle {
			if conn.idleUntil > now {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
			peer.open--
		}
		clear(peer.idle[len(kept):])
		peer.idle = kept
	}
}

// OpenConnections returns how many connections are open, idle ones too.
func (pool *Pool) OpenConnections() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	total := 0
	for _, peer := range pool.peers {
		total += peer.open
	}
	return total
}

func (pool *Pool) closeIdle() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, peer := range pool.peers {
		for _, conn := range peer.idle {
			_ = conn.Close()
		}
		peer.idle = nil
	}
}
