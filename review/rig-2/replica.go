package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

const (
	headerID        = "X-Trefoilseam-Request-Id"
	headerSignature = "X-Trefoilseam-Replica-Signature"
	headerExpected  = "X-Trefoilseam-Expect-Replica"
	headerNotRun    = "X-Trefoilseam-Not-Executed"
	headerReplica   = "X-Trefoilseam-Replica-Id"
	healthPath      = "/health"
	// crashing is the body of a request that crashes each replica that begins to run it.
	crashing = "the request that crashes replicas"
	// downTime is how long a replica is down after a crash.
	downTime = 2500 * timekeeper.Millisecond
	// missedBeats is after how many heartbeats of silence a row is removed.
	missedBeats = 3
)

// replicaSettings set up the replicas of a service.
type replicaSettings struct {
	service string
	slots   int
	// events is the number of events of a stream, zero for a plain answer; pause is the time before
	// each, or before the plain answer.
	events int
	pause  timekeeper.Span
	// crashAfter is how long after the begin of its run a request crashes the replica: the first
	// event of a stream, the arrival of a plain request.
	crashAfter timekeeper.Span
	// answersFirst reports whether a plain request is answered before it crashes the replica.
	answersFirst bool
	// counted replicas count what they hold, and crash if it is more than their memory.
	counted bool
	// unstoppable replicas go on with a run whose connection has closed.
	unstoppable bool
}

// replica is one incarnation of a replica.
type replica struct {
	site     *site
	settings replicaSettings
	id       string
	server   *http.Server
	// row is the replica's row in the list.
	row []byte
}

// addReplica starts a replica and lists it.
func (site *site) addReplica(settings replicaSettings, number, incarnation int) error {
	listener, err := listen()
	if err != nil {
		return err
	}
	added := &replica{site: site, settings: settings, id: fmt.Sprintf("i-%s-%d-%d", settings.service, number, incarnation)}
	added.row = emulator.Row{
		Service: settings.service, Address: listener.Addr().String(), DataCentre: "bole-hall", State: "ready", Slots: settings.slots,
		StartedAt: timekeeper.Wall().Now(),
	}.Encode()
	added.server = &http.Server{Handler: added, ReadHeaderTimeout: contactTime.Duration()}
	site.mu.Lock()
	site.replicas = append(site.replicas, added)
	site.mu.Unlock()
	go func() {
		if err := added.server.Serve(listener); errors.Is(err, http.ErrServerClosed) {
			return
		}
	}()
	site.store.Put("servers", added.id, added.row)
	site.record.add("replica %s starts", added.id)
	return nil
}

// addReplicas starts replicas of a service.
func (site *site) addReplicas(settings replicaSettings, count int) error {
	for number := range count {
		if err := site.addReplica(settings, number+1, 1); err != nil {
			return err
		}
	}
	return nil
}

// crash ends the replica as a crash of its process does. It is back under a new ID after downTime, and the row
// of the crashed one is removed when it has been silent for long enough.
func (replica *replica) crash(id string) {
	site := replica.site
	site.mu.Lock()
	site.crashes = append(site.crashes, event{id: id, at: site.clock.Now()})
	site.mu.Unlock()
	site.record.add("replica %s crashes on %s", replica.id, id)
	_ = replica.server.Close()
	go func() {
		_ = site.clock.Sleep(context.Background(), downTime)
		var number, incarnation int
		_, _ = fmt.Sscanf(strings.TrimPrefix(replica.id, "i-"+replica.settings.service+"-"), "%d-%d", &number, &incarnation)
		if err := site.addReplica(replica.settings, number, incarnation+1); err != nil {
			site.record.add("replica %s can't start again: %v", replica.id, err)
		}
		_ = site.clock.Sleep(context.Background(), missedBeats*heartbeat-downTime)
		site.store.Remove("servers", replica.id)
	}()
}

// ServeHTTP answers one request.
func (replica *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header, id := w.Header(), r.Header.Get(headerID)
	header.Set("Keep-Alive", "timeout=5")
	header.Set(headerReplica, replica.id)
	if id != "" {
		header.Set(headerID, id)
	}
	if expected := r.Header.Get(headerExpected); expected != "" && expected != replica.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		header.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set(headerSignature, replica.id+"."+id)
	crashes := string(body) == crashing
	if replica.settings.events > 0 {
		replica.stream(w, r, id, crashes)
		return
	}
	replica.begin(id)
	if crashes && !replica.settings.answersFirst {
		_ = replica.site.clock.Sleep(r.Context(), replica.settings.crashAfter)
		replica.crash(id)
		panic(http.ErrAbortHandler)
	}
	if crashes {
		go func() {
			_ = replica.site.clock.Sleep(context.Background(), replica.settings.crashAfter)
			replica.crash(id)
		}()
	}
	if replica.site.clock.Sleep(r.Context(), replica.settings.pause) == nil {
		_, _ = io.WriteString(w, "the answer to "+id)
	}
}

// begin records that a request begins to run.
func (replica *replica) begin(id string) {
	site := replica.site
	now := site.clock.Now()
	site.mu.Lock()
	site.arrivals = append(site.arrivals, event{id: id, at: now})
	sender := site.senders[id]
	site.reached[id] = sender != nil && sender.inTouch(now)
	site.mu.Unlock()
	site.record.add("%s begins to run at replica %s", id, replica.id)
}

// stream answers with events. A request that crashes the replica does so crashAfter the first one.
func (replica *replica) stream(w http.ResponseWriter, r *http.Request, id string, crashes bool) {
	site, settings := replica.site, replica.settings
	w.Header().Set("Content-Type", "text/event-stream")
	if settings.counted {
		tooMany, end := site.holdings.begin(replica, id)
		defer end()
		if tooMany {
			replica.crash(id)
			panic(http.ErrAbortHandler)
		}
	}
	crashAt, ctx := timekeeper.Instant(0), r.Context()
	if settings.unstoppable {
		ctx = context.WithoutCancel(ctx)
	}
	for number := 1; number <= settings.events; number++ {
		if site.clock.Sleep(ctx, settings.pause) != nil {
			return
		}
		if number == 1 {
			replica.begin(id)
			crashAt = site.clock.Now().Add(settings.crashAfter)
		}
		if crashes && site.clock.Now() >= crashAt {
			replica.crash(id)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", number, id, number)
		if http.NewResponseController(w).Flush() != nil && !settings.unstoppable {
			return
		}
	}
}
