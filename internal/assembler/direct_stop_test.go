package assembler

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

// stoppingEntry is an entry whose server for callers a test starts and stops.
type stoppingEntry struct {
	*Direct
	server  *http.Server
	stopped chan struct{}
}

// newStoppingEntry returns an entry with a configuration, whose server does not accept
// connections yet.
func newStoppingEntry(t *testing.T, grace timekeeper.Span) *stoppingEntry {
	t.Helper()
	direct, release := directOnLoopback(t)
	t.Cleanup(release)
	direct.settings.StopGrace = grace
	document, err := platform.DecodeConfiguration(emulator.Configuration(1, emulator.Routes(host)))
	if err != nil {
		t.Fatal(err)
	}
	direct.applyConfiguration(document, "test")
	return &stoppingEntry{Direct: direct, server: direct.callerServer(direct.frontend), stopped: make(chan struct{})}
}

func (entry *stoppingEntry) serve() {
	go func() { _ = entry.server.Serve(entry.callerListener(entry.listeners.frontend)) }()
}

func (entry *stoppingEntry) stop() {
	entry.readiness.stopping.Store(true)
	go func() {
		defer close(entry.stopped)
		_ = entry.shutDown(entry.server)
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
