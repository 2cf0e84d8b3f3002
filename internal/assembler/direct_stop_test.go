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

// stoppingEntry is an entry whose server of callers a test stops by itself.
type stoppingEntry struct {
	*Direct
	server  *http.Server
	stopped chan struct{}
}

// newStoppingEntry returns an entry with a configuration whose server takes nobody yet.
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
	entry.readiness.leaving.Store(true)
	go func() {
		defer close(entry.stopped)
		_ = entry.shutDown(entry.server)
	}()
}

// runs reports whether the entry has not ended after a span.
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

// answered reads an answer from a connection and returns its status; zero means that the
// connection ended without one.
func answered(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// patience bounds what a test waits for.
const patience = 20 * timekeeper.Second

// host is that of the configuration; lost has no route there.
const host, lost = "a.example", "/nowhere/"

func TestTheLastSecondOfAStop(t *testing.T) {
	// A request runs to the end of a stopping entry's time. A caller who came just before
	// that had his request unread when the process ended: neither an answer nor a refusal.
	// So the entry closes its door while there is time to answer all that has come: who
	// comes then finds no connection, idle connections end, and what is under way does not.
	entry := newStoppingEntry(t, acceptMargin+exitMargin+300)
	entry.serve()
	long, err := entry.call(t, emulator.Head(http.MethodPost, host, "/news/long", "long", 2)+"{")
	if err != nil {
		t.Fatal(err)
	}
	for entry.frontend.Active() == 0 {
		_ = entry.clock.Sleep(t.Context(), 1)
	}
	idle, err := entry.call(t, emulator.Head(http.MethodGet, host, lost, "lost", 0))
	if err != nil {
		t.Fatal(err)
	}
	Convey("the door closes before the entry ends", t, func() {
		So(answered(idle), ShouldEqual, http.StatusNotFound)
		entry.stop()
		ends := entry.clock.Now().Add(patience)
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

func TestAStopWaitsForThoseWhoKnock(t *testing.T) {
	// An entry on a busy machine stops, and a caller has connected and sent a request, but
	// nobody has taken the connection. Closed now, the listener would reset it.
	entry := newStoppingEntry(t, patience)
	conn, err := entry.call(t, emulator.Head(http.MethodGet, host, lost, "lost", 0))
	if err != nil {
		t.Fatal(err)
	}
	Convey("the request is answered before it ends", t, func() {
		entry.stop()
		So(entry.runs(t, entry.settings.StopDelay+10*stopPollInterval), ShouldBeTrue)
		entry.serve()
		So(answered(conn), ShouldEqual, http.StatusNotFound)
		<-entry.stopped
	})
}

func TestAStopWaitsForConnectionsLeftOpen(t *testing.T) {
	// A request came on a connection as the server closed it; the close was dropped, and
	// the server counts the connection no more. The process must not end before the
	// request has its answer.
	entry := newStoppingEntry(t, patience)
	entry.serve()
	left, _ := connPair(t)
	entry.callerConns.trackState(left, http.StateActive)
	Convey("it ends once they are closed", t, func() {
		entry.stop()
		So(entry.runs(t, entry.settings.StopDelay+10*stopPollInterval), ShouldBeTrue)
		entry.callerConns.trackState(left, http.StateClosed)
		<-entry.stopped
	})
}
