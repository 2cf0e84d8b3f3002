package assembler

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// newPair returns an entry and the only agent, that of a replica which answers all requests with 200.
func newPair(t *testing.T) (*Entry, *Agent) {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(upstream.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	platform := imitator.NewPlatform(timekeeper.Wall())
	env := Environment{Clock: timekeeper.Wall(), Log: log, Platform: platform.InProcess()}
	_, configErr := publisher.Accept(t.Context(), env.Platform, devConfig(), 0, "test")
	process := loader.Process{Name: "orders-1", Site: "bole", Listen: loopback, AdminListen: loopback}
	agent, releaseAgent, agentErr := NewAgent(t.Context(), loader.Agent{Service: "orders", Upstream: upstream.URL, Process: process}, env)
	if err := errors.Join(configErr, agentErr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(releaseAgent)
	platform.SetInstances([]storekeeper.Instance{{Name: process.Name, Service: "orders", Address: agent.Address(), Site: process.Site}})
	process.Name = "entry-1"
	entry, releaseEntry, err := NewEntry(t.Context(), loader.Entry{Process: process}, env)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(releaseEntry)
	return entry, agent
}

// runPair runs an entry and an agent until stop is called, and the agent until the entry has ended. ended gets the error of
// the first that ends.
func runPair(entry *Entry, agent *Agent) (stop func(), ended <-chan error) {
	var group run.Group
	var stopOrder stages
	entry.AddTo(stopOrder.add())
	agent.AddTo(stopOrder.add())
	stopOrder.addTo(&group)
	stopping := make(chan struct{})
	group.Add(func() error { <-stopping; return nil }, func(error) {})
	errs := make(chan error, 1)
	go func() { errs <- group.Run() }()
	return func() { close(stopping) }, errs
}

func TestRequestsThatArriveAsAnEntryWithAgentsStops(t *testing.T) {
	// Guards against a planned stop that closes a caller's connection without an answer to the request that is arriving on it.
	const first = 12
	const request = "GET /orders HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " + DevKey + "\r\n\r\n"
	tests := []struct {
		name string
		// before is sent on the connection, and answered, before the request.
		before string
	}{
		{"on a new connection", ""},
		{"on a connection with an earlier request", request},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry, agent := newPair(t)
			stop, ended := runPair(entry, agent)
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", entry.Address())
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.before)
			So(err, ShouldBeNil)
			if test.before != "" {
				So(answered(conn), ShouldEqual, http.StatusOK)
			}
			_, err = io.WriteString(conn, request[:first])
			So(err, ShouldBeNil)
			stop()
			for status := 1; status != 0; {
				status = statusAt(t, entry.Address())
			}
			_, err = io.WriteString(conn, request[first:])
			So(err, ShouldBeNil)
			So(answered(conn), ShouldEqual, http.StatusOK)
			So(<-ended, ShouldBeNil)
		})
	}
}
