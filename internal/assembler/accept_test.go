package assembler

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/oklog/run"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// failingListener fails the accepts for which it has errors left.
type failingListener struct {
	net.Listener
	left    atomic.Int32
	failure syscall.Errno
}

// Accept returns the next connection, or an error of the system.
func (listener *failingListener) Accept() (net.Conn, error) {
	if listener.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: listener.Addr(), Err: os.NewSyscallError("accept4", listener.failure)}
	}
	return listener.Listener.Accept()
}

// failing makes the next accepts of a listener fail.
func failing(listener *net.Listener, failure syscall.Errno) {
	const failures = 4
	wrapped := &failingListener{Listener: *listener, failure: failure}
	wrapped.left.Store(failures)
	*listener = wrapped
}

func TestAnEntryOutlivesFailedAccepts(t *testing.T) {
	// Guards against an entry that ends, with the requests in flight, when the system fails to accept a connection.
	tests := []struct {
		name string
		fail func(listeners *directListeners)
	}{
		{"callers, no memory", func(listeners *directListeners) { failing(&listeners.frontend, syscall.ENOMEM) }},
		{"callers, no buffers", func(listeners *directListeners) { failing(&listeners.frontend, syscall.ENOBUFS) }},
		{"callers, an error of the network", func(listeners *directListeners) { failing(&listeners.frontend, syscall.ENETDOWN) }},
		{"callers, no descriptors", func(listeners *directListeners) { failing(&listeners.frontend, syscall.EMFILE) }},
		{"readiness, no memory", func(listeners *directListeners) { failing(&listeners.ready, syscall.ENOMEM) }},
		{"peers, no memory", func(listeners *directListeners) { failing(&listeners.peer, syscall.ENOMEM) }},
		{"metrics, no memory", func(listeners *directListeners) { failing(&listeners.metrics, syscall.ENOMEM) }},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			direct, release := directOnLoopback(t)
			defer release()
			metrics, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			direct.listeners.metrics = metrics
			direct.settings.StopDelay = 1
			addresses := []string{direct.Address(), addressOf(direct.listeners.ready), addressOf(direct.listeners.peer), addressOf(metrics)}
			test.fail(&direct.listeners)
			var group run.Group
			direct.AddTo(&group)
			stopping, stop := context.WithCancel(t.Context())
			group.Add(func() error { <-stopping.Done(); return nil }, func(error) { stop() })
			ended := make(chan error, 1)
			go func() { ended <- group.Run() }()
			for _, address := range addresses {
				So(statusAt(t, address), ShouldNotEqual, 0)
			}
			So(len(ended), ShouldEqual, 0)
			stop()
			So(<-ended, ShouldBeNil)
		})
	}
}

func TestEntriesAndAgentsOutliveFailedAccepts(t *testing.T) {
	// Guards against an entry with agents, or an agent, that ends when the system fails to accept a connection.
	tests := []struct {
		name string
		fail func(entry, agent *base)
	}{
		{"callers of the entry, no memory", func(entry, _ *base) { failing(&entry.listener, syscall.ENOMEM) }},
		{"admin address of the entry, no buffers", func(entry, _ *base) { failing(&entry.admin, syscall.ENOBUFS) }},
		{"sessions of the agent, no descriptors", func(_, agent *base) { failing(&agent.listener, syscall.EMFILE) }},
		{"sessions of the agent, a connection that was aborted", func(_, agent *base) { failing(&agent.listener, syscall.ECONNABORTED) }},
		{"admin address of the agent, an error of the network", func(_, agent *base) { failing(&agent.admin, syscall.ENETDOWN) }},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry, agent := newPair(t)
			test.fail(entry.base, agent.base)
			stop, ended := runPair(entry, agent)
			status, _, _ := call(t, http.MethodGet, "http://"+entry.Address()+"/orders", "", "Authorization", "Bearer "+DevKey)
			So(status, ShouldEqual, http.StatusOK)
			So(statusAt(t, addressOf(entry.admin)), ShouldNotEqual, 0)
			So(statusAt(t, addressOf(agent.admin)), ShouldNotEqual, 0)
			So(len(ended), ShouldEqual, 0)
			stop()
			So(<-ended, ShouldBeNil)
		})
	}
}

// statusAt returns the status of an answer of a server, or zero if it doesn't answer.
func statusAt(t *testing.T, address string) int {
	ctx, cancel := context.WithTimeout(t.Context(), (2 * timekeeper.Second).Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		t.Log(err)
	}
	return response.StatusCode
}
