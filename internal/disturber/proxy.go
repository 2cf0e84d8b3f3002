package disturber

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Direction is a direction of traffic through the proxy.
type Direction uint8

// The two directions.
const (
	// ToTarget is from the client to the target.
	ToTarget Direction = iota
	// FromTarget is from the target to the client.
	FromTarget
)

// Fault is what the proxy does to one direction. The zero value forwards
// everything unchanged.
type Fault struct {
	// Delay delays each chunk that is forwarded.
	Delay timekeeper.Span
	// Stall stops reading, so that the sender's buffers fill, as with a half-open connection.
	Stall bool
	// Discard reads everything and forwards nothing, as in a one-way network partition.
	Discard bool
	// CutAfter closes a connection when this many bytes were forwarded in this direction since
	// Set, summed over all connections. Any other is then closed at its next chunk, unless
	// Once is set. Zero means never.
	CutAfter int64
	// Once clears the fault after its first cut, so that a new connection works.
	Once bool
}

// Proxy forwards TCP connections to one target and injects faults.
type Proxy struct {
	clock    timekeeper.Clock
	listener net.Listener

	mu        sync.Mutex
	target    string
	changed   chan struct{}
	faults    [2]Fault
	forwarded [2]int64
	conns     map[net.Conn]struct{}
	refuse    bool
	closed    bool
}

// New returns a proxy that listens on a free loopback port, and a function that
// closes it and all its connections.
func New(target string, clock timekeeper.Clock) (*Proxy, func(), error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, eris.Wrap(err, "listen")
	}
	proxy := &Proxy{
		target: target, clock: clock, listener: listener,
		changed: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	go proxy.accept()
	return proxy, proxy.close, nil
}

// Address returns the address on which the proxy listens.
func (proxy *Proxy) Address() string {
	return proxy.listener.Addr().String()
}

// Set replaces the fault of one direction. It also applies to open connections.
func (proxy *Proxy) Set(direction Direction, fault Fault) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.faults[direction] = fault
	proxy.forwarded[direction] = 0
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Retarget sends new connections to another target, as a load balancer does when
// an instance is replaced. Open connections keep their target.
func (proxy *Proxy) Retarget(target string) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.target = target
}

// Refuse sets whether the proxy closes new connections at once.
func (proxy *Proxy) Refuse(refuse bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.refuse = refuse
}

// Cut closes all open connections.
func (proxy *Proxy) Cut() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		_ = conn.Close()
	}
	proxy.conns = map[net.Conn]struct{}{}
}

// BytesForwarded returns the bytes forwarded in one direction since its fault was set.
func (proxy *Proxy) BytesForwarded(direction Direction) int64 {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.forwarded[direction]
}

func (proxy *Proxy) close() {
	_ = proxy.listener.Close()
	proxy.mu.Lock()
	proxy.closed = true
	proxy.mu.Unlock()
	proxy.Cut()
}

func (proxy *Proxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.connect(client)
	}
}

// connect dials the target for an accepted connection and forwards in both directions.
func (proxy *Proxy) connect(client net.Conn) {
	var dialer net.Dialer
	proxy.mu.Lock()
	target := proxy.target
	proxy.mu.Unlock()
	server, err := dialer.DialContext(context.Background(), "tcp", target)
	if err != nil || !proxy.register(client, server) {
		_ = client.Close()
		if server != nil {
			_ = server.Close()
		}
		return
	}
	go proxy.copy(ToTarget, client, server)
	proxy.copy(FromTarget, server, client)
}

func (proxy *Proxy) register(conns ...net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.refuse || proxy.closed {
		return false
	}
	for _, conn := range conns {
		proxy.conns[conn] = struct{}{}
	}
	return true
}

func (proxy *Proxy) fault(direction Direction) (Fault, <-chan struct{}) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.faults[direction], proxy.changed
}

// copy forwards one direction until either side closes or a fault cuts the connection.
func (proxy *Proxy) copy(direction Direction, from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		proxy.waitWhileStalled(direction)
		n, err := from.Read(buffer)
		if n > 0 && !proxy.forward(direction, to, buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (proxy *Proxy) waitWhileStalled(direction Direction) {
	for {
		fault, changed := proxy.fault(direction)
		if !fault.Stall {
			return
		}
		<-changed
	}
}

// forward applies the fault to a chunk and writes it. It returns false when the
// connection must be closed.
func (proxy *Proxy) forward(direction Direction, to net.Conn, chunk []byte) bool {
	fault, _ := proxy.fault(direction)
	if fault.Discard {
		return true
	}
	if fault.Delay > 0 {
		_ = proxy.clock.Sleep(context.Background(), fault.Delay)
	}
	chunk, cut := proxy.applyCut(direction, fault, chunk)
	if _, err := to.Write(chunk); err != nil {
		return false
	}
	return !cut
}

// applyCut shortens a chunk to the bytes that are forwarded before the cut, counts them, and
// clears a Once fault after its cut. It also returns whether the connection must be closed.
func (proxy *Proxy) applyCut(direction Direction, fault Fault, chunk []byte) ([]byte, bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	remaining := fault.CutAfter - proxy.forwarded[direction]
	cut := fault.CutAfter > 0 && int64(len(chunk)) >= remaining
	if cut {
		chunk = chunk[:max(0, remaining)]
	}
	proxy.forwarded[direction] += int64(len(chunk))
	if cut && fault.Once {
		proxy.faults[direction] = Fault{}
	}
	return chunk, cut
}
