package disturber

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Direction is the way that bytes go through the proxy.
type Direction uint8

// The two directions.
const (
	// ToTarget is from the side that dialled to the target.
	ToTarget Direction = iota
	// FromTarget is from the target to the side that dialled.
	FromTarget
)

// Fault is what the proxy does to one direction. The zero value passes
// everything on.
type Fault struct {
	// Delay holds each part back.
	Delay timekeeper.Span
	// Stall reads nothing, so that the sender's buffers fill: a half-open peer.
	Stall bool
	// Discard reads everything and passes nothing on: a one-way cut.
	Discard bool
	// CutAfter cuts a connection once it has carried this many bytes more; zero means never.
	CutAfter int64
	// Once clears the fault after its first cut, so that what dials again gets through.
	Once bool
}

// Proxy stands between a dialler and one target.
type Proxy struct {
	clock    timekeeper.Clock
	listener net.Listener

	mu      sync.Mutex
	target  string
	changed chan struct{}
	faults  [2]Fault
	carried [2]int64
	conns   map[net.Conn]struct{}
	refuse  bool
	closed  bool
}

// New returns a proxy that listens on a free port of loopback, and a function
// that closes it and all its connections.
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

// Address returns where the proxy listens.
func (proxy *Proxy) Address() string {
	return proxy.listener.Addr().String()
}

// Set replaces the fault of one direction, for connections that are open too.
func (proxy *Proxy) Set(direction Direction, fault Fault) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.faults[direction] = fault
	proxy.carried[direction] = 0
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Retarget leads new connections to another target, as a balancer does when an
// instance is replaced. Open ones stay where they are.
func (proxy *Proxy) Retarget(target string) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.target = target
}

// Refuse makes the proxy close new connections at once, or accept them again.
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

// BytesForwarded returns the bytes passed on in one direction since its fault was set.
func (proxy *Proxy) BytesForwarded(direction Direction) int64 {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.carried[direction]
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
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.join(near)
	}
}

// join connects an accepted connection to the target.
func (proxy *Proxy) join(near net.Conn) {
	var dialer net.Dialer
	proxy.mu.Lock()
	target := proxy.target
	proxy.mu.Unlock()
	far, err := dialer.DialContext(context.Background(), "tcp", target)
	if err != nil || !proxy.track(near, far) {
		_ = near.Close()
		if far != nil {
			_ = far.Close()
		}
		return
	}
	go proxy.copy(ToTarget, near, far)
	proxy.copy(FromTarget, far, near)
}

func (proxy *Proxy) track(conns ...net.Conn) bool {
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

// copy moves bytes one way until either side closes or a fault cuts.
func (proxy *Proxy) copy(direction Direction, from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		proxy.waitWhileStalled(direction)
		n, err := from.Read(buffer)
		if n > 0 && !proxy.pass(direction, to, buffer[:n]) {
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

// pass hands a part on as the fault says; false means that the connection is cut.
func (proxy *Proxy) pass(direction Direction, to net.Conn, part []byte) bool {
	fault, _ := proxy.fault(direction)
	if fault.Discard {
		return true
	}
	if fault.Delay > 0 {
		_ = proxy.clock.Sleep(context.Background(), fault.Delay)
	}
	part, cut := proxy.count(direction, fault, part)
	if _, err := to.Write(part); err != nil {
		return false
	}
	return !cut
}

// count returns the part that still goes through and whether the cut follows it.
func (proxy *Proxy) count(direction Direction, fault Fault, part []byte) ([]byte, bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	left := fault.CutAfter - proxy.carried[direction]
	cut := fault.CutAfter > 0 && int64(len(part)) >= left
	if cut {
		part = part[:max(0, left)]
	}
	proxy.carried[direction] += int64(len(part))
	if cut && fault.Once {
		proxy.faults[direction] = Fault{}
	}
	return part, cut
}
