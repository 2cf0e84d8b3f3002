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

// Settings configure sessions. Zero fields mean the defaults.
type Settings struct {
	// DialTimeout bounds a connection attempt; zero means one second.
	DialTimeout timekeeper.Span
	// KeepAlive is the interval between probes of an idle session; zero means 5
	// seconds.
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
	// ServerKeepAlive is the probe interval on the accepting side: long, because
	// the dialling side probes too.
	ServerKeepAlive = 2 * timekeeper.Minute
	// minProbeGap is the minimum interval between any two probes of a pool. It
	// keeps the cost of probes constant for any number of peers: 20 probes a
	// second, of 24 bytes with their answers, are 480 bytes a second.
	minProbeGap = 50 * timekeeper.Millisecond
	// ProbeSize is the size of a probe and its answer in bytes.
	ProbeSize = 24
)

// keepAlive returns the probe interval of one session of a pool that holds the given
// number of sessions.
func (settings Settings) keepAlive(sessions int) timekeeper.Span {
	return max(settings.withDefaults().KeepAlive, timekeeper.Span(sessions)*minProbeGap)
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
	settings     Settings
	now          func() timekeeper.Instant
	sessionCount atomic.Int64
	dial         func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the session to one address. It has its own lock, so that dialling one
// peer doesn't block others. Lock order: Pool.mu is never held while peer.mu is
// taken.
type peer struct {
	mu       sync.Mutex
	session  *yamux.Session
	lastUsed timekeeper.Instant
	identity Peer
}

// Peer identifies the process that answers at an address.
type Peer struct {
	Instance    string
	Incarnation uint64
}

// NewPool returns a pool and a function that closes all its sessions.
func NewPool(settings Settings) (*Pool, func()) {
	settings = settings.withDefaults()
	netDialer := net.Dialer{Timeout: settings.DialTimeout.Duration()}
	pool := &Pool{settings: settings, now: timekeeper.SinceBoot().Now, peers: map[string]*peer{}}
	pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return netDialer.DialContext(ctx, "tcp", address)
	}
	return pool, pool.close
}

// Open returns a new stream to the peer at address. An error means that no
// frame has reached the peer.
func (pool *Pool) Open(ctx context.Context, address string) (net.Conn, error) {
	stream, _, err := pool.OpenPeer(ctx, address)
	return stream, err
}

// OpenPeer is like Open and also returns the incarnation that the stream leads to.
// All streams of a session lead to the same one, since a session is one connection.
func (pool *Pool) OpenPeer(ctx context.Context, address string) (net.Conn, Peer, error) {
	var lastErr error
	for range maxOpenTries {
		session, identity, err := pool.session(ctx, address)
		if err != nil {
			return nil, Peer{}, err
		}
		stream, err := session.OpenStream()
		if err == nil {
			return stream, identity, nil
		}
		lastErr = eris.Wrap(err, "open stream")
		pool.discard(address, session)
	}
	return nil, Peer{}, lastErr
}

// maxOpenTries is the number of sessions tried for one stream: a kept session may
// end after it was checked, or accept no more streams.
const maxOpenTries = 2

// discard forgets a session that opens no more streams. Its open streams continue.
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
	pool.sessionCount.Add(-1)
}

func (pool *Pool) session(ctx context.Context, address string) (*yamux.Session, Peer, error) {
	peer := pool.peer(address)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	peer.lastUsed = pool.now()
	if peer.session != nil && !peer.session.IsClosed() {
		return peer.session, peer.identity, nil
	}
	conn, err := pool.dial(ctx, address)
	if err != nil {
		return nil, Peer{}, eris.Wrap(err, "dial")
	}
	settings := pool.settings
	settings.KeepAlive = settings.keepAlive(pool.countSessions())
	session, err := yamux.Client(conn, settings.SessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Peer{}, eris.Wrap(err, "start session")
	}
	identity, err := handshake(ctx, session, pool.settings.DialTimeout)
	if err != nil {
		_ = session.Close()
		return nil, Peer{}, eris.Wrap(err, "session handshake")
	}
	if peer.session == nil {
		pool.sessionCount.Add(1)
	}
	peer.session, peer.identity = session, identity
	return session, identity, nil
}

// handshake asks the peer for its identity: a proxy may accept connections for a
// peer that is gone or has restarted. As the welcome comes first, the dialling
// process knows which incarnation receives a call before it sends a frame of the
// call. The handshake costs one round trip per session, not per call.
func handshake(ctx context.Context, session *yamux.Session, timeout timekeeper.Span) (Peer, error) {
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

// idleTimeout is how long a session without streams stays open.
const idleTimeout = timekeeper.Minute

// CloseIdle closes sessions that have been idle for a minute. Over time an entry
// connects to every replica: at 3,100 replicas, keeping all sessions would take
// several times the memory that a process may use, while its few calls a second
// need only some dozens.
func (pool *Pool) CloseIdle() {
	pool.mu.Lock()
	peers := maps.Clone(pool.peers)
	pool.mu.Unlock()
	for _, peer := range peers {
		if peer.closeIfIdle(pool.now()) {
			pool.sessionCount.Add(-1)
		}
	}
}

// closeIfIdle closes the session if it is idle and reports whether it did.
func (peer *peer) closeIfIdle(now timekeeper.Instant) bool {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.session == nil || peer.session.NumStreams() > 0 || now.Since(peer.lastUsed) < idleTimeout {
		return false
	}
	_ = peer.session.Close()
	peer.session = nil
	return true
}

// countSessions returns the number of sessions that the pool holds. A broken session
// counts until it is replaced, discarded or closed as idle.
func (pool *Pool) countSessions() int {
	return int(pool.sessionCount.Load())
}

// ProbeRate returns the traffic in bytes a second of the probes of the open
// sessions: those that the pool sends and those that it answers.
func (pool *Pool) ProbeRate() float64 {
	return pool.settings.ProbeRate(pool.countSessions())
}

// ProbeRate returns the probe traffic of the given number of sessions, in bytes a
// second.
func (settings Settings) ProbeRate(sessions int) float64 {
	rate := func(interval timekeeper.Span) float64 {
		return float64(sessions) * ProbeSize * float64(timekeeper.Second) / float64(interval)
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
