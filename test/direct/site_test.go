package direct

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	// The binary is built from what this package imports. Importing it makes go
	// test run anew when it has changed.
	_ "github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

// binary is the built program; TestMain makes it.
var binary string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "trefoilseam")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "trefoilseam")
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", binary, "../../cmd/trefoilseam").CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		return 1
	}
	// Most tests wait for processes and use little of a core.
	if err := flag.Set("test.parallel", "8"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

const (
	host    = "kitchen.example"
	teamKey = "rig-key"
	// patience bounds waits for what must happen; nothing is judged by it.
	patience = 20 * timekeeper.Second
)

// route is a route of the operator's configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	Timeout   int    `json:"timeoutMs"`
	Target    int    `json:"targetLatencyMs"`
	Gap       int    `json:"gapAimMs,omitempty"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"maxAttempts"`
	Public    bool   `json:"public"`
	Resumable bool   `json:"resumable"`
}

// siteRoutes are the routes that most tests run under.
func siteRoutes() []route {
	return []route{
		{Name: "orders", Host: host, Prefix: "/orders/", Kind: "unsafe", Timeout: 3000, Target: 150, Service: "orders", Attempts: 1},
		{Name: "board", Host: host, Prefix: "/board/", Kind: "safe", Timeout: 3000, Target: 150, Service: "orders", Attempts: 2},
		{Name: "menu", Host: host, Prefix: "/menu/", Kind: "stream", Timeout: 12000, Target: 300, Gap: 250, Service: "planner", Attempts: 1},
		{
			Name: "stock", Host: host, Prefix: "/stock/", Kind: "stream", Timeout: 12000, Target: 400, Gap: 250,
			Service: "planner", Attempts: 2, Resumable: true,
		},
		{Name: "news", Host: host, Prefix: "/news/", Kind: "safe", Timeout: 3000, Service: "orders", Attempts: 2, Public: true},
	}
}

// configuration returns what the operator writes.
func configuration(version int, routes []route, keys ...string) []byte {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "orders", "healthPath": "/health", "maxConnections": 96},
			map[string]any{
				"name": "planner", "healthPath": "/health", "maxConnections": 360,
				"engine": map[string]any{"slots": 64, "kvCapacityTokens": 300000},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bole", "apiKeys": keys, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// site is the platform in the test process, and the entries as real processes.
type site struct {
	t        *testing.T
	clock    timekeeper.Clock
	store    *emulator.Store
	address  string
	replicas map[string]*emulator.Replica
	stops    map[string]func()
}

// newSite returns a site whose store holds the configuration, without replicas.
func newSite(t *testing.T) *site {
	t.Helper()
	site := &site{
		t: t, clock: timekeeper.Steady(), store: emulator.NewStore(timekeeper.Steady()),
		replicas: map[string]*emulator.Replica{}, stops: map[string]func(){},
	}
	site.address = site.serveStore()
	site.configure(1, siteRoutes(), teamKey)
	return site
}

// serveStore serves the store at another address, which can be turned away alone.
func (site *site) serveStore() string {
	server := httptest.NewServer(site.store)
	site.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (site *site) configure(version int, routes []route, keys ...string) {
	site.store.Put("op", "config", configuration(version, routes, keys...))
}

// addReplica starts a replica and lists it as ready.
func (site *site) addReplica(settings emulator.ReplicaSettings) *emulator.Replica {
	return site.addReplicaAt(settings, "127.0.0.1:0")
}

func (site *site) addReplicaAt(settings emulator.ReplicaSettings, address string) *emulator.Replica {
	site.t.Helper()
	settings.Clock = site.clock
	replica, stop, err := emulator.StartReplica(settings, address)
	if err != nil {
		site.t.Fatal(err)
	}
	site.t.Cleanup(stop)
	site.replicas[settings.ID], site.stops[settings.ID] = replica, stop
	site.list(settings.ID, "ready")
	return replica
}

func (site *site) list(id, state string) {
	site.store.Put("servers", id, site.replicas[id].Row("bole", state))
}

// orders adds plain replicas, planners adds replicas that stream.
func (site *site) orders(count int) {
	for number := range count {
		site.addReplica(emulator.ReplicaSettings{ID: fmt.Sprintf("orders-%d", number+1), Service: "orders", Slots: 6, Work: 10})
	}
}

func (site *site) planners(count, events int) {
	for number := range count {
		site.addReplica(emulator.ReplicaSettings{
			ID: fmt.Sprintf("planner-%d", number+1), Service: "planner", Slots: 64, Work: 10, Events: events,
		})
	}
}

// faults sets the same fault at all replicas.
func (site *site) faults(fault func(id string) emulator.Fault) {
	for _, replica := range site.replicas {
		replica.SetFault(fault)
	}
}

// ran returns all that the replicas began to work on, by request.
func (site *site) ran() map[string][]emulator.Ran {
	ran := map[string][]emulator.Ran{}
	for _, replica := range site.replicas {
		for _, one := range replica.Ran() {
			ran[one.ID] = append(ran[one.ID], one)
		}
	}
	return ran
}

// entry is one real process.
type entry struct {
	t       *testing.T
	command *exec.Cmd
	file    string
	done    chan struct{}

	mu    sync.Mutex
	lines []logLine
	begun logLine
}

// logLine is the part of a log line that tests read.
type logLine struct {
	Message string `json:"msg"`
	Listen  string `json:"listen"`
	Ready   string `json:"ready-listen"`
	Peers   string `json:"peer-listen"`
	Metrics string `json:"metrics-listen"`
	Request string `json:"request-id"`
	Kind    string `json:"kind"`
	Replica string `json:"replica"`
	Reason  string `json:"reason"`
	From    string `json:"from"`
	Version uint64 `json:"version"`
	Gone    bool   `json:"gone"`
	Text    string `json:"-"`
}

// addEntry starts an entry and waits until it is ready.
func (site *site) addEntry(name string) *entry {
	site.t.Helper()
	return site.addEntryBy(name, site.address)
}

// addEntryBy starts an entry that calls the store at an address.
func (site *site) addEntryBy(name, store string) *entry {
	site.t.Helper()
	started := site.startEntryBy(name, store)
	started.waitFor("ready", func() bool { return started.ready() == http.StatusOK })
	return started
}

// startEntry starts an entry and waits until it listens.
func (site *site) startEntry(name string) *entry {
	site.t.Helper()
	return site.startEntryBy(name, site.address)
}

func (site *site) startEntryBy(name, store string) *entry {
	site.t.Helper()
	file := filepath.Join(site.t.TempDir(), "entry.toml")
	started := &entry{t: site.t, done: make(chan struct{}), file: file}
	started.write(fmt.Sprintf("name = %q\ndata-centre = \"bole\"\nlisten = \"127.0.0.1:0\"\nready-listen = \"127.0.0.1:0\"\n"+
		"peer-listen = \"127.0.0.1:0\"\nmetrics-listen = \"127.0.0.1:0\"\nstore = %q\nstop-delay = \"300ms\"\n", name, store))
	started.command = exec.CommandContext(context.Background(), binary, "entry", "-direct", "-settings", file)
	stdout, err := started.command.StdoutPipe()
	if err != nil {
		site.t.Fatal(err)
	}
	started.command.Stderr = os.Stderr
	if err := started.command.Start(); err != nil {
		site.t.Fatal(err)
	}
	listening := make(chan struct{})
	go started.read(stdout, listening)
	site.t.Cleanup(started.kill)
	select {
	case <-listening:
	case <-started.done:
		site.t.Fatal("the entry ended before it listened")
	}
	return started
}

func (entry *entry) write(settings string) {
	entry.t.Helper()
	if err := os.WriteFile(entry.file, []byte(settings), 0o600); err != nil {
		entry.t.Fatal(err)
	}
}

// read collects log lines; listening closes once the addresses are known.
func (entry *entry) read(stdout io.Reader, listening chan struct{}) {
	defer close(entry.done)
	lines := bufio.NewScanner(stdout)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := logLine{Text: lines.Text()}
		_ = json.Unmarshal(lines.Bytes(), &line)
		entry.mu.Lock()
		entry.lines = append(entry.lines, line)
		if line.Message == "entry started" {
			entry.begun = line
			close(listening)
		}
		entry.mu.Unlock()
	}
}

// logged returns the log lines that fit.
func (entry *entry) logged(fits func(line logLine) bool) []logLine {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	var found []logLine
	for _, line := range entry.lines {
		if fits(line) {
			found = append(found, line)
		}
	}
	return found
}

func (entry *entry) said(message string) bool {
	return len(entry.logged(func(line logLine) bool { return line.Message == message })) > 0
}

// waitFor waits until the condition holds.
func (entry *entry) waitFor(what string, holds func() bool) {
	entry.t.Helper()
	await(entry.t, what, holds)
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	clock := timekeeper.Steady()
	start := clock.Now()
	for !holds() {
		if clock.Now().Since(start) > patience {
			t.Fatalf("waited in vain: %s", what)
		}
		_ = clock.Sleep(t.Context(), 5)
	}
}

// ready returns the status of the entry's readiness; zero when it doesn't answer.
func (entry *entry) ready() int {
	return statusOf(entry.t, "http://"+entry.begun.Ready+"/ready")
}

func statusOf(t *testing.T, address string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, address, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (entry *entry) signal(signal syscall.Signal) {
	if err := entry.command.Process.Signal(signal); err != nil {
		entry.t.Log(err)
	}
}

func (entry *entry) kill() {
	_ = entry.command.Process.Kill()
	<-entry.done
	_ = entry.command.Wait()
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// last reports whether the caller was asked to leave.
	last bool
	// err is set when there was no whole answer.
	err error
}

// call is a caller's request.
type call struct {
	id, method, path, body string
	header                 http.Header
	ctx                    context.Context
}

func (call call) with(name, value string) call {
	header := call.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(name, value)
	call.header = header
	return call
}

// send sends a request on a connection of its own.
func (entry *entry) send(call call) reply {
	entry.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return entry.sendBy(client, call)
}

func (entry *entry) sendBy(client *http.Client, call call) reply {
	entry.t.Helper()
	ctx := call.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+entry.begun.Listen+call.path, strings.NewReader(call.body))
	if err != nil {
		entry.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Trefoilseam-Request-Id", call.id)
	request.Header.Set("X-Trefoilseam-Credential", teamKey)
	request.Header.Set("X-Trefoilseam-Deadline-Ms", "3000")
	for name, values := range call.header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), last: response.Close, err: err}
}

// raw sends bytes as they are and returns what comes back until the end.
func (entry *entry) raw(text string) string {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", entry.begun.Listen)
	if err != nil {
		entry.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(timekeeper.In(patience))
	_, _ = io.WriteString(conn, text)
	// The end of what the caller sends, so that the entry waits for no more.
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	back, _ := io.ReadAll(conn)
	return string(back)
}

func order(id string) call {
	return call{id: id, method: http.MethodPost, path: "/orders/lunch", body: "ten meals"}
}

func board(id string) call {
	return call{id: id, method: http.MethodGet, path: "/board/7"}
}

func stock(id string) call {
	return prompt(call{id: id, method: http.MethodPost, path: "/stock/notes", body: "notes"})
}

func menu(id string) call {
	return prompt(call{id: id, method: http.MethodPost, path: "/menu/today", body: "what is there"})
}

func prompt(call call) call {
	return call.with("X-Trefoilseam-Model", "m").with("X-Trefoilseam-Token-Counts", "1400,80").
		with("X-Trefoilseam-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,"+fmt.Sprintf("%x", len(call.id))+"0:190").
		with("X-Trefoilseam-Deadline-Ms", "12000")
}

// put sends a body to the address at which an entry hears its peers.
func (entry *entry) put(body []byte) int {
	request, err := http.NewRequestWithContext(
		context.Background(), http.MethodPut, "http://"+entry.begun.Peers+"/configuration", strings.NewReader(string(body)))
	if err != nil {
		entry.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// page returns the body of a page.
func (entry *entry) page(address string) string {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, address, http.NoBody)
	if err != nil {
		entry.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// settings returns what the entry's settings file holds.
func (entry *entry) settings() string {
	text, err := os.ReadFile(entry.file)
	if err != nil {
		entry.t.Fatal(err)
	}
	return string(text)
}

// peersOf returns how many peers an entry hears.
func (site *site) peersOf(entry *entry) int {
	for _, line := range strings.Split(entry.page("http://"+entry.begun.Metrics), "\n") {
		if strings.HasPrefix(line, "trefoilseam_peers_up{") {
			return int(line[len(line)-1] - '0')
		}
	}
	return 0
}
