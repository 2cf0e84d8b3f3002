package stage

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Headers between client, entry and replica.
const (
	HeaderID         = "X-Trefoilseam-Request-Id"
	HeaderDeadline   = "X-Trefoilseam-Deadline-Ms"
	HeaderKey        = "X-Trefoilseam-Credential"
	HeaderSignature  = "X-Trefoilseam-Replica-Signature"
	headerExpected   = "X-Trefoilseam-Expect-Replica"
	headerNotRun     = "X-Trefoilseam-Not-Executed"
	headerReplicaID  = "X-Trefoilseam-Replica-Id"
	headerLoad       = "X-Trefoilseam-Replica-Load"
	headerRetryAfter = "Retry-After"
)

// Replica is a replica of a plain service. It processes Slots requests at once, queues Queue more and
// rejects any beyond, health checks too.
type Replica struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work returns how long a request takes.
	Work func(id string) timekeeper.Span
	// Events is the number of events of an answer that is a stream, an EventGap apart; zero means that
	// answers are plain.
	Events   int
	EventGap timekeeper.Span
	// Spoil reports whether an answer that is about to be written is one that the replica spoils. Then
	// Spoiler writes it instead, or, if that is nil, the same answer comes a second time when the next
	// request arrives on the connection. Nil spoils none.
	Spoil   func(kind string) bool
	Spoiler func(conn net.Conn, request *http.Request)

	platform *Platform
	listener net.Listener
	slots    chan struct{}

	mu      sync.Mutex
	present int
	runs    map[string]int
	// rejected counts the rejected health checks.
	checks, rejectedChecks int
}

// StartReplica starts a replica and lists it as ready.
func (platform *Platform) StartReplica(replica *Replica) error {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	replica.platform, replica.listener = platform, listener
	replica.slots, replica.runs = make(chan struct{}, replica.Slots), map[string]int{}
	server := &http.Server{
		Handler: replica, ReadHeaderTimeout: 5 * timekeeper.Second.Duration(), IdleTimeout: 5 * timekeeper.Second.Duration(),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = server.Serve(lateListener{listener}) }()
	platform.cleanups = append(platform.cleanups, func() { _ = server.Close() })
	platform.List(replica, "ready")
	return nil
}

// Address returns where the replica listens.
func (replica *Replica) Address() string { return replica.listener.Addr().String() }

// Runs returns how often the replica began to work on each request.
func (replica *Replica) Runs() map[string]int {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	runs := make(map[string]int, len(replica.runs))
	for id, count := range replica.runs {
		runs[id] = count
	}
	return runs
}

// Checks returns how many health checks reached the replica, and how many of them it rejected.
func (replica *Replica) Checks() (all, rejected int) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.checks, replica.rejectedChecks
}

// ServeHTTP answers one request.
func (replica *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, header := r.Header.Get(HeaderID), w.Header()
	isCheck := r.Method == http.MethodGet && r.URL.Path == HealthPath
	header.Set("Keep-Alive", "timeout=5")
	if id != "" {
		header.Set(HeaderID, id)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get(headerExpected); expected != "" && expected != replica.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" && !isCheck {
		replica.refuse(w, r, http.StatusBadRequest, "no-id")
		return
	}
	if !replica.enter(isCheck) {
		replica.platform.Record.Add("reject %s at %s", cmp.Or(id, "health-check"), replica.ID)
		replica.refuse(w, r, http.StatusServiceUnavailable, map[bool]string{true: "rejected-check", false: "rejected"}[isCheck])
		return
	}
	defer replica.leave()
	select {
	case replica.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-replica.slots }()
	if isCheck {
		header.Set(headerReplicaID, replica.ID)
		header.Set(headerLoad, replica.load())
		replica.spoil(w, r, "check")
		return
	}
	replica.run(w, r, id)
}

// run works on a request and answers it.
func (replica *Replica) run(w http.ResponseWriter, r *http.Request, id string) {
	replica.mu.Lock()
	replica.runs[id]++
	replica.mu.Unlock()
	replica.platform.Record.Add("run %s at %s %s %s", id, replica.ID, r.Method, r.URL.Path)
	if replica.platform.Clock.Sleep(r.Context(), replica.Work(id)) != nil {
		replica.platform.Record.Add("dropped %s at %s: its connection was closed", id, replica.ID)
		return
	}
	header := w.Header()
	header.Set(HeaderSignature, replica.ID+"."+id)
	header.Set(headerLoad, replica.load())
	if replica.spoil(w, r, "answer") {
		return
	}
	if replica.Events == 0 {
		_, _ = io.WriteString(w, Body(id))
		return
	}
	header.Set("Content-Type", "text/event-stream")
	for number := range replica.Events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number+1, Body(id))
		if http.NewResponseController(w).Flush() != nil || replica.platform.Clock.Sleep(r.Context(), replica.EventGap) != nil {
			return
		}
	}
}

// Body returns the body of the answer to a request.
func Body(id string) string {
	return fmt.Sprintf(`{"answer-to":%q,"sum":"%016x"}`, id, xxhash.Sum64String(id))
}

// refuse answers that a request has not run.
func (replica *Replica) refuse(w http.ResponseWriter, r *http.Request, status int, kind string) {
	w.Header().Set(headerNotRun, "1")
	replica.spoil(w, r, kind)
	w.WriteHeader(status)
}

// spoil spoils the answer if it is its turn, and reports whether it has been written.
func (replica *Replica) spoil(w http.ResponseWriter, r *http.Request, kind string) bool {
	if replica.Spoil == nil || !replica.Spoil(kind) {
		return false
	}
	replica.platform.Record.Add("spoil %s to %s at %s", kind, cmp.Or(r.Header.Get(HeaderID), "health-check"), replica.ID)
	if replica.Spoiler == nil {
		if conn, ok := r.Context().Value(connKey{}).(*lateConn); ok {
			conn.repeatAnswer()
		}
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	replica.Spoiler(conn, r)
	return true
}

// enter takes a place for a request, if there is one.
func (replica *Replica) enter(isCheck bool) bool {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	full := replica.present >= replica.Slots+replica.Queue
	if isCheck {
		replica.checks++
	}
	if isCheck && full {
		replica.rejectedChecks++
	}
	if !full {
		replica.present++
	}
	return !full
}

func (replica *Replica) leave() {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.present--
}

// load returns the load header: RUNNING,WAITING,SLOTS.
func (replica *Replica) load() string {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	running := min(replica.present, replica.Slots)
	return strconv.Itoa(running) + "," + strconv.Itoa(replica.present-running) + "," + strconv.Itoa(replica.Slots)
}

// connKey is the context key of a connection.
type connKey struct{}
