package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

const (
	host = "kitchen.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// contactTime, graceTime and heartbeat are contactMs, graceS and heartbeatMs of a small
	// deployment.
	contactTime = 3 * timekeeper.Second
	graceTime   = 8 * timekeeper.Second
	heartbeat   = 1200 * timekeeper.Millisecond
)

// site is a small deployment: a store, replicas and entries.
type site struct {
	binary, folder string
	clock          timekeeper.Clock
	record         *record
	store          *emulator.Store
	storeAddress   string
	entries        []*entry
	// servers serve the store.
	servers  []*http.Server
	client   *http.Client
	holdings holdings

	// taken are the addresses that entries have.
	taken map[string]bool

	mu       sync.Mutex
	replicas []*replica
	// arrivals are the requests that replicas began to run, crashes those that crashed one.
	arrivals, crashes []event
	// senders are the entries to which requests were sent, by ID, and reached those that an entry in
	// touch sent to a replica.
	senders map[string]*entry
	reached map[string]bool
}

// event is something that a replica saw of a request.
type event struct {
	id string
	at timekeeper.Instant
}

// newSite returns a deployment with a configuration, and a function that ends all that it started.
func newSite(binary, path string) (*site, func(), error) {
	clock := timekeeper.Steady()
	record, closeRecord, err := newRecord(path, clock)
	if err != nil {
		return nil, nil, err
	}
	folder, err := os.MkdirTemp("", "review-rig-2")
	if err != nil {
		return nil, nil, err
	}
	site := &site{
		binary: binary, folder: folder, clock: clock, record: record, store: emulator.NewStore(clock),
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		senders: map[string]*entry{}, reached: map[string]bool{}, taken: map[string]bool{},
		holdings: holdings{current: map[*replica]int{}},
	}
	if site.storeAddress, err = site.serveStore(); err != nil {
		return nil, nil, err
	}
	site.store.Configure(emulator.Configuration(1, emulator.Routes(host), key))
	return site, func() {
		site.end()
		for _, server := range site.servers {
			_ = server.Close()
		}
		_ = os.RemoveAll(folder)
		closeRecord()
	}, nil
}

func listen() (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// freeAddress returns an address that is free and that no outgoing connection gets, so that a process can
// be started there again.
func (site *site) freeAddress() (string, error) {
	const first, count = 20_000, 12_000
	for range count {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))
		if site.taken[address] {
			continue
		}
		stream, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		packets, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", address)
		_ = stream.Close()
		if err == nil {
			_ = packets.Close()
			site.taken[address] = true
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// withoutEra leaves out a header that the project's stand-in of the store sends and the pages don't
// have.
func withoutEra(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(eraRemover{w}, r) })
}

type eraRemover struct{ http.ResponseWriter }

// WriteHeader sends the head without the era.
func (remover eraRemover) WriteHeader(status int) {
	remover.Header().Del("Store-Era")
	remover.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, and the head without the era before the first one.
func (remover eraRemover) Write(part []byte) (int, error) {
	remover.Header().Del("Store-Era")
	return remover.ResponseWriter.Write(part)
}

// end ends all processes and replicas.
func (site *site) end() {
	for _, entry := range site.entries {
		entry.signal(syscall.SIGKILL)
		entry.wait(graceTime)
	}
	site.mu.Lock()
	defer site.mu.Unlock()
	for _, replica := range site.replicas {
		_ = replica.server.Close()
	}
}

// addEntries chooses the addresses of entries.
func (site *site) addEntries(count int) error {
	for number := range count {
		added := &entry{site: site, store: site.storeAddress, name: fmt.Sprintf("front-%d", number+1)}
		for _, address := range []*string{&added.listen, &added.ready, &added.metrics, &added.peers} {
			free, err := site.freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		site.entries = append(site.entries, added)
	}
	return nil
}

// startEntries starts the processes of all entries.
func (site *site) startEntries(ctx context.Context) error {
	for _, entry := range site.entries {
		if err := entry.start(ctx, true); err != nil {
			return err
		}
	}
	return nil
}

// status returns the status of an answer; zero if there is none.
func (site *site) status(ctx context.Context, address string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return 0
	}
	answer, err := site.client.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// anyEntry returns the next entry in turn that is ready.
func (site *site) anyEntry(number int) *entry {
	for i := range site.entries {
		if chosen := site.entries[(number+i)%len(site.entries)]; chosen.isUp() {
			return chosen
		}
	}
	return site.entries[0]
}

// request is one client attempt.
type request struct {
	id, path, body string
	deadline       timekeeper.Span
	// patience is after how long the client leaves.
	patience timekeeper.Span
	// parts is the prompt, "" for a plain request.
	parts string
}

// send sends a request to an entry and returns the status of its answer, and whether the answer was
// whole.
func (site *site) send(ctx context.Context, to *entry, request request) (status int, whole bool) {
	return site.sendBy(ctx, site.client, to, request)
}

// sendBy is send with a client of its own.
func (site *site) sendBy(ctx context.Context, client *http.Client, to *entry, request request) (status int, whole bool) {
	ctx, cancel := context.WithTimeout(ctx, request.patience.Duration())
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.listen+request.path, strings.NewReader(request.body))
	if err != nil {
		return 0, false
	}
	out.Host = host
	out.Header.Set(headerID, request.id)
	out.Header.Set("X-Trefoilseam-Credential", key)
	out.Header.Set("X-Trefoilseam-Deadline-Ms", strconv.FormatInt(int64(request.deadline), 10))
	if request.parts != "" {
		out.Header.Set("X-Trefoilseam-Model", "m")
		out.Header.Set("X-Trefoilseam-Token-Counts", "1400,80")
		out.Header.Set("X-Trefoilseam-Prompt-Prefix", request.parts)
	}
	site.mu.Lock()
	site.senders[request.id] = to
	site.mu.Unlock()
	site.record.add("%s is sent to %s: POST %s, body %q", request.id, to.name, request.path, request.body)
	answer, err := client.Do(out)
	if err != nil {
		site.record.add("%s ends without an answer", request.id)
		return 0, false
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	site.record.add("%s is answered %d, %d bytes, whole %t, signature %q", request.id, answer.StatusCode, len(text), err == nil, answer.Header.Get(headerSignature))
	return answer.StatusCode, err == nil
}

// hasRun reports whether a replica began to run a request.
func (site *site) hasRun(id string) bool {
	site.mu.Lock()
	defer site.mu.Unlock()
	_, found := site.reached[id]
	return found
}
