package assembler

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

// stoppingEntry is an entry whose server for callers a test starts and stops.
type stoppingEntry struct {
	*Direct
	server  callerServer
	stopped chan struct{}
}

// newStoppingEntry returns an entry with a configuration, whose server does not accept
// connections yet.
func newStoppingEntry(t *testing.T, grace timekeeper.Span) *stoppingEntry {
	t.Helper()
	direct, release := directOnLoopback(t)
	t.Cleanup(release)
	direct.settings.StopGrace = grace
	entry := &stoppingEntry{Direct: direct, stopped: make(chan struct{})}
	entry.server = direct.callerServer(direct.frontend)
	entry.configure(t, 1, emulator.Routes(host))
	return entry
}

// configure gives the entry a version of the configuration.
func (entry *stoppingEntry) configure(t *testing.T, version int, routes []emulator.Route) {
	t.Helper()
	document, err := platform.DecodeConfiguration(emulator.Configuration(version, routes))
	if err != nil {
		t.Fatal(err)
	}
	entry.applyConfiguration(document, "test")
}

func (entry *stoppingEntry) serve() {
	go func() { _ = entry.server.Serve(entry.callerListener(entry.listeners.frontend)) }()
}

func (entry *stoppingEntry) stop() {
	exitAt := entry.beginStop()
	go func() {
		defer close(entry.stopped)
		_ = entry.shutDown(entry.server, exitAt)
	}()
}

// runs reports whether the entry still runs after a span.
func (entry *stoppingEntry) runs(t *testing.T, span timekeeper.Span) bool {
	t.Helper()
	fired, release := entry.clock.After(span)
	defer release()
	select {
	case <-entry.stopped:
		return false
	case <-fired:
		return true
	}
}

// call opens a connection and sends text on it.
func (entry *stoppingEntry) call(t *testing.T, text string) (net.Conn, error) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", entry.Address())
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	return conn, err
}

// answered reads an answer from a connection and returns its status, or zero if the
// connection ended without an answer.
func answered(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// testTimeout bounds the waits of a test.
const testTimeout = 20 * timekeeper.Second

// host is the host of the configuration, unknownPath a path without a route.
const host, unknownPath = "a.example", "/nowhere/"

func TestListenerClosesBeforeExit(t *testing.T) {
	// Guards against a request that is still unread when the process exits and so gets
	// neither an answer nor a refusal: it arrived just before the exit, while another
	// request kept the entry running. The entry must close its listener and idle
	// connections while there is time to answer all requests that have arrived, without
	// cutting off those in flight.
	entry := newStoppingEntry(t, closeMargin+exitMargin+300)
	entry.serve()
	long, err := entry.call(t, emulator.RequestHead(http.MethodPost, host, "/news/long", "long", 2)+"{")
	if err != nil {
		t.Fatal(err)
	}
	for entry.frontend.Active() == 0 {
		_ = entry.clock.Sleep(t.Context(), 1)
	}
	idle, err := entry.call(t, emulator.RequestHead(http.MethodGet, host, unknownPath, "lost", 0))
	if err != nil {
		t.Fatal(err)
	}
	Convey("the listener closes before the entry ends", t, func() {
		So(answered(idle), ShouldEqual, http.StatusNotFound)
		entry.stop()
		ends := entry.clock.Now().Add(testTimeout)
		for err == nil && entry.clock.Now() < ends {
			var conn net.Conn
			if conn, err = entry.call(t, ""); err == nil {
				_ = conn.Close()
			}
		}
		So(err, ShouldNotBeNil)
		So(entry.runs(t, 1), ShouldBeTrue)
		_, err = idle.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
		_, err = io.WriteString(long, "}")
		So(err, ShouldBeNil)
		So(answered(long), ShouldNotEqual, 0)
		<-entry.stopped
	})
}

func TestStopWaitsForPendingConnections(t *testing.T) {
	// Guards against a listener that is closed with a connection in its backlog: on a busy
	// machine a caller has connected and sent a request, but the stopping entry has not
	// accepted the connection, so the close would reset it.
	entry := newStoppingEntry(t, testTimeout)
	conn, err := entry.call(t, emulator.RequestHead(http.MethodGet, host, unknownPath, "lost", 0))
	if err != nil {
		t.Fatal(err)
	}
	Convey("the request is answered before the entry ends", t, func() {
		entry.stop()
		So(entry.runs(t, entry.settings.StopDelay+10*stopPollInterval), ShouldBeTrue)
		entry.serve()
		So(answered(conn), ShouldEqual, http.StatusNotFound)
		<-entry.stopped
	})
}

func TestRequestsThatArriveAsTheListenerCloses(t *testing.T) {
	// Guards against a planned stop that closes a caller's connection without an answer to the request that is arriving
	// on it.
	const first = 12
	head := emulator.RequestHead(http.MethodGet, host, unknownPath, "arriving", 0)
	tests := []struct {
		name string
		// before is sent on the connection, and answered, before the request.
		before string
	}{
		{"on a new connection", ""},
		{"on a connection with an earlier request", head},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry := newStoppingEntry(t, testTimeout)
			entry.serve()
			conn, err := entry.call(t, test.before)
			So(err, ShouldBeNil)
			if test.before != "" {
				So(answered(conn), ShouldEqual, http.StatusNotFound)
			}
			_, err = io.WriteString(conn, head[:first])
			So(err, ShouldBeNil)
			for entry.connTracker.count() == 0 {
				_ = entry.clock.Sleep(t.Context(), 1)
			}
			entry.stop()
			for err == nil {
				var other net.Conn
				if other, err = entry.call(t, ""); err == nil {
					_ = other.Close()
				}
			}
			So(entry.runs(t, 2*stopPollInterval), ShouldBeTrue)
			_, err = io.WriteString(conn, head[first:])
			So(err, ShouldBeNil)
			So(answered(conn), ShouldEqual, http.StatusNotFound)
			<-entry.stopped
		})
	}
}

func TestStopWaitsForOpenConnections(t *testing.T) {
	// Guards against an exit before a request is answered that arrived as the server
	// closed its connection: the connection was kept open, but the server no longer
	// counts it.
	entry := newStoppingEntry(t, testTimeout)
	entry.serve()
	conn, _ := connPair(t)
	entry.connTracker.trackState(conn, http.StateActive)
	Convey("the entry ends once the connection is closed", t, func() {
		entry.stop()
		So(entry.runs(t, entry.settings.StopDelay+10*stopPollInterval), ShouldBeTrue)
		entry.connTracker.trackState(conn, http.StateClosed)
		<-entry.stopped
	})
}

func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	// Guards against a stop that lasts as long as its grace allows since a caller has opened a connection and sent nothing.
	entry := newStoppingEntry(t, testTimeout)
	entry.serve()
	conn, err := entry.call(t, "")
	if err != nil {
		t.Fatal(err)
	}
	for entry.connTracker.count() == 0 {
		_ = entry.clock.Sleep(t.Context(), 1)
	}
	Convey("the connection is closed, and the entry ends long before", t, func() {
		entry.stop()
		So(entry.runs(t, testTimeout/2), ShouldBeFalse)
		So(answered(conn), ShouldEqual, 0)
	})
}

// silentReplica accepts requests and never answers. It returns its address and the count of requests.
func silentReplica(t *testing.T) (address string, requests *atomic.Int32) {
	t.Helper()
	requests = &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

func TestRequestsAtTheEndOfTheGrace(t *testing.T) {
	// Guards against requests that are cut without an answer when the grace of a stop ends, and against
	// taking some that may not be repeated so late that they might be.
	const long = 20 * timekeeper.Second
	tests := []struct {
		name string
		kind string
		// during reports whether the request is sent in the delay of the stop, rather than before the stop.
		during bool
		status int
		sent   int32
	}{
		{"sent before the stop, once only", "unsafe", false, http.StatusBadGateway, 1},
		{"sent before the stop, safe", "safe", false, http.StatusBadGateway, 1},
		{"sent before the stop, a stream", "stream", false, http.StatusBadGateway, 1},
		{"sent during the delay, once only", "unsafe", true, http.StatusServiceUnavailable, 0},
		{"sent during the delay, a stream", "stream", true, http.StatusServiceUnavailable, 0},
		{"sent during the delay, safe", "safe", true, http.StatusBadGateway, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry := newStoppingEntry(t, closeMargin+exitMargin+300)
			entry.settings.StopDelay = 600
			entry.configure(t, 2, []emulator.Route{
				{Name: "slow", Host: host, Prefix: "/slow/", Kind: test.kind, Timeout: int(long), Service: emulator.Orders, Attempts: 1, Public: true},
			})
			address, requests := silentReplica(t)
			entry.fleet.With(func(fleet *balancer.Fleet) {
				fleet.SetReplicas([]balancer.Replica{{ID: "r-1", Service: emulator.Orders, Address: address, Slots: 8}}, sequencer.Version{Number: 1})
			})
			entry.serve()
			if test.during {
				entry.stop()
				So(entry.runs(t, 100), ShouldBeTrue)
			}
			conn, err := entry.call(t, emulator.RequestHead(http.MethodPost, host, "/slow/", "r-1", 2)+"{}")
			So(err, ShouldBeNil)
			if !test.during {
				for ends := entry.clock.Now().Add(testTimeout); requests.Load() == 0 && entry.clock.Now() < ends; {
					_ = entry.clock.Sleep(t.Context(), 1)
				}
				entry.stop()
			}
			// The process would have exited by then.
			_ = conn.SetReadDeadline(timekeeper.In(3 * timekeeper.Second))
			So(answered(conn), ShouldEqual, test.status)
			So(requests.Load(), ShouldEqual, test.sent)
			<-entry.stopped
		})
	}
}
