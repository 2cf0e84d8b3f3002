package assembler

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

func TestABrokenAnswerToACallerOfHTTP10(t *testing.T) {
	// Guards against an answer that breaks off and looks whole to a caller without chunks, for whom an
	// orderly end of the connection ends it.
	tests := []struct {
		name  string
		whole bool
	}{{"whole", true}, {"broken off", false}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry := newStoppingEntry(t, testTimeout)
			entry.configure(t, 2, []emulator.Route{
				{Name: "menu", Host: host, Prefix: "/menu/", Kind: "stream", Timeout: 3000, Service: emulator.Planner, Attempts: 1, Public: true},
			})
			replica, stop, err := emulator.StartReplica(emulator.ReplicaSettings{
				ID: "planner-1", Service: emulator.Planner, Slots: 8, Events: 4, Clock: entry.clock,
			}, "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer stop()
			if !test.whole {
				replica.SetFault(func(string) emulator.Fault { return emulator.DisconnectMidAnswer })
			}
			entry.fleet.With(func(fleet *balancer.Fleet) {
				list := []balancer.Replica{{ID: "planner-1", Service: emulator.Planner, Address: replica.Address(), Slots: 8}}
				fleet.SetReplicas(list, sequencer.Version{Number: 1})
			})
			entry.serve()
			request := emulator.RequestHead(http.MethodPost, host, "/menu/", "r-1", 2) + "{}"
			conn, err := entry.call(t, strings.Replace(request, "HTTP/1.1", "HTTP/1.0", 1))
			So(err, ShouldBeNil)
			_ = conn.SetReadDeadline(timekeeper.In(testTimeout))
			text, err := io.ReadAll(conn)
			So(string(text), ShouldContainSubstring, "200 OK")
			So(err == nil, ShouldEqual, test.whole)
			So(fmt.Sprint(err), ShouldNotContainSubstring, "timeout")
		})
	}
}

func TestAnAbortedAnswerBesideAgents(t *testing.T) {
	// Guards against the same at an entry with agents.
	for _, whole := range []bool{true, false} {
		Convey(fmt.Sprintf("whole: %v", whole), t, func() {
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if !whole {
					panic(http.ErrAbortHandler)
				}
			}))
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			So(err, ShouldBeNil)
			_, err = io.ReadAll(conn)
			So(err == nil, ShouldEqual, whole)
		})
	}
}
