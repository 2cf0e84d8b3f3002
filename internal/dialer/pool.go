package dialer

import (
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings of sessions. The zero value means the defaults.
type Settings struct {
	// DialTimeout bounds a connection attempt; zero means one second.
	DialTimeout timekeeper.Span
	// KeepAlive is the time between probes of an idle session; zero means 5 seconds.
	KeepAlive timekeeper.Span
	// WriteTimeout bounds a write to a stalled peer; zero means 10 seconds.
	WriteTimeout timekeeper.Span
}

func (settings Settings) withDefaults() Settings {
	if settings.DialTimeout == 0 {
		settings.DialTimeout = timekeeper.Second
	}
	if settings.KeepAlive == 0 {
		settings.KeepAlive = 5 * timekeeper.Second
	}
	if settings.WriteTimeout == 0 {
		settings.WriteTimeout = 10 * timekeeper.Second
	}
	return settings
}

const (
	// ServerKeepAlive is the time between probes on the side that was dialled:
	// rare, for the side that dials probes too.
	ServerKeepAlive = 2 * timekeeper.Minute
	// probeShare is the least time between any two probes of a pool. It keeps
	// what probes cost the same at any number of peers: 20 probes a second, of
	// 24 bytes with their answer, are 480 bytes a second.
	probeShare = 50 * timekeeper.Millisecond
	// ProbeSize is what one probe and its answer take in bytes.
	ProbeSize = 24
)

// keepAlive returns the time between probes of one session among many.
func (settings Settings) keepAlive(sessions int) timekeeper.Span {
	return max(settings.withDefaults().KeepAlive, timekeeper.Span(sessions)*probeShare)
}

// SessionConfig returns the yamux configuration that both ends of a session use.
func (settings Settings) SessionConfig() *yamux.Config {
	settings = settings.withDefaults()
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = settings.KeepAlive.Duration()
	config.ConnectionWriteTimeout = settings.WriteTimeout.Duration()
	config.StreamCloseTimeout = settings.WriteTimeout.Duration()
	config.LogOutput = io.Discard
	return config
}

// Pool holds the sessions of one process to its peers.
type Pool struct {
	settings Settings
	now      func() timekeeper.Instant
	open     atomic.Int64
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
}

// peer has a lock of its own, so that dialling one peer doesn't hold up others.
// Lock order: Pool.mu is never held while peer.mu is taken.
type peer struct {
	mu      sync.Mutex
	session *yamux.Session
	used    timekeeper.Instant
	who     Peer
}

// Peer is who answers at an address.
type Peer struct {
	Instance    string
	Incarnation uint64
}

// NewPool returns a pool and a function that closes all its sessions.
func NewPool(settings Settings) (*Pool, func()) {
	settings = settings.withDefaults()
	plain := net.Dialer{Timeout: settings.DialTimeout.Duration()}
	pool := &Pool{settings: settings, now: timekeeper.SinceBoot().Now, peers: map[string]*peer{}}
	pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return plain.DialContext(ctx, "tcp", address)
	}
	return pool, pool.close
}

// Open returns a new stream to the peer at address. An error means that no
// frame has reached the peer.
func (pool *Pool) Open(ctx context.Context, address string) (net.Conn, error) {
	stream, _, err := pool.OpenPeer(ctx, address)
	return stream, err
}

// OpenPeer is Open, and also tells which incarnation the stream leads to. All
// streams of a session lead to the same one, since a session is one connection.
func (pool *Pool) OpenPeer(ctx context.Context, address string) (net.Conn, Peer, error) {
	var failed error
	for range openTries {
		session, who, err := pool.session(ctx, address)
		if err != nil {
			return nil, Peer{}, err
		}
		stream, err := session.OpenStream()
		if err == nil {
			return stream, who, nil
		}
		failed = eris.Wrap(err, "open stream")
		pool.discard(address, session)
	}
	return nil, Peer{}, failed
}

// openTries is on how many sessions a stream is tried: a kept one may end after it was
// looked at, or take no more streams.
const openTries = 2

// discard forgets a session that opens no more streams. Those that it carries go on.
func (pool *Pool) discard(address string, session *yamux.Session) {
	peer := pool.peer(address)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.session != session {
		return
	}
	if session.NumStreams() == 0 {
		_ = session.Close()
	}
	peer.session = nil
	pool.open.Add(-1)
}

func (pool *Pool) session(ctx context.Context, address string) (*yamux.Session, Peer, error) {
	peer := pool.peer(address)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.used = pool.now()
	if peer.session != nil && !peer.session.IsClosed() {
		return peer.session, peer.who, nil
	}
	conn, err := pool.dial(ctx, address)
	if err != nil {
		return nil, Peer{}, eris.Wrap(err, "dial")
	}
	settings := pool.settings
	settings.KeepAlive = settings.keepAlive(pool.size())
	session, err := yamux.Client(conn, settings.SessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Peer{}, eris.Wrap(err, "start session")
	}
	who, err := greet(ctx, session, pool.settings.DialTimeout)
	if err != nil {
		_ = session.Close()
		return nil, Peer{}, eris.Wrap(err, "no welcome")
	}
	if peer.session == nil {
		pool.open.Add(1)
	}
	peer.session, peer.who = session, who
	return session, who, nil
}

// greet asks who answers: something between may take connections for a peer that is gone,
// or has started again. With a welcome first, no frame of a call leaves before it is known
// which incarnation it goes to. It costs one round trip a session, not a call.
func greet(ctx context.Context, session *yamux.Session, timeout timekeeper.Span) (Peer, error) {
	conn, err := session.OpenStream()
	if err != nil {
		return Peer{}, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream := encoder.NewStream(conn)
	if err := stream.Write(encoder.Of(&encoder.Hello{})); err != nil {
		return Peer{}, err
	}
	welcome, err := encoder.ReadAs(stream, (*encoder.Frame).GetWelcome)
	if err != nil {
		return Peer{}, err
	}
	return Peer{Instance: welcome.GetInstance(), Incarnation: welcome.GetIncarnation()}, nil
}

// idleFor is how long a session without streams stays open.
const idleFor = timekeeper.Minute

// CloseIdle closes sessions that have carried nothing for a minute. An entry meets
// every replica sooner or later: at 3,100 replicas, sessions kept for ever
// would take several times the memory that a process may have, while its few
// calls a second need some dozens.
func (pool *Pool) CloseIdle() {
	pool.mu.Lock()
	peers := maps.Clone(pool.peers)
	pool.mu.Unlock()
	for _, peer := range peers {
		if peer.reap(pool.now()) {
			pool.open.Add(-1)
		}
	}
}

// reap closes the session if it is idle and reports whether it did.
func (peer *peer) reap(now timekeeper.Instant) bool {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.session == nil || peer.session.NumStreams() > 0 || now.Since(peer.used) < idleFor {
		return false
	}
	_ = peer.session.Close()
	peer.session = nil
	return true
}

// size returns how many sessions are open, or were when last used.
func (pool *Pool) size() int {
	return int(pool.open.Load())
}

// ProbeRate returns what the probes of the open sessions cost in bytes a
// second: those that the pool sends, and those that it answers.
func (pool *Pool) ProbeRate() float64 {
	return pool.settings.ProbeRate(pool.size())
}

// ProbeRate returns what the probes of a number of sessions cost in bytes a second.
func (settings Settings) ProbeRate(sessions int) float64 {
	rate := func(every timekeeper.Span) float64 {
		return float64(sessions) * ProbeSize * float64(timekeeper.Second) / float64(every)
	}
	return rate(settings.keepAlive(sessions)) + rate(ServerKeepAlive)
}

func (pool *Pool) peer(address string) *peer {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.peers[address] == nil {
		pool.peers[address] = &peer{}
	}
	return pool.peers[address]
}

func (pool *Pool) close() {
	pool.mu.Lock()
	peers := pool.peers
	pool.peers = map[string]*peer{}
	pool.mu.Unlock()
	for _, peer := range peers {
		peer.mu.Lock()
		if peer.session != nil {
			_ = peer.session.Close()
		}
		peer.mu.Unlock()
	}
}
