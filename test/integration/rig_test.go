package integration

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	// The binary is built from this package and its imports. Importing it here
	// invalidates cached test results when one of them changes.
	_ "github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// binary is the path of the program, which TestMain builds.
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
	// Most tests wait for processes and use little CPU, so 12 run in parallel on
	// any machine. -parallel on the command line overrides this.
	const parallelTests = "12"
	if err := flag.Set("test.parallel", parallelTests); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// teamKey is the key of the one team in siteConfig.
const teamKey = "rig-key"

// siteConfig returns the configuration that most tests use.
func siteConfig() resolver.Bundle {
	sum, other := sha256.Sum256([]byte(teamKey)), sha256.Sum256([]byte("other-key"))
	return resolver.Bundle{Base: fmt.Sprintf(`
[teams.rig]
key-hashes = [%q]

[teams.other]
key-hashes = [%q]

[services.planner]
kind = "model"
models = ["planner"]
cached-header = %q
resume-grace = "1s"

[services.orders]
kind = "plain"

[[routes]]
path = "/orders"
service = "orders"
idempotent-methods = ["GET", "HEAD"]
`, hex.EncodeToString(sum[:]), hex.EncodeToString(other[:]), imitator.CachedHeader)}
}

// rig is one site: fakes of the platform and the upstreams in the test process,
// entries and agents as real processes, and a fault-injecting proxy before each agent.
type rig struct {
	t           testing.TB
	clock       timekeeper.Clock
	platform    *imitator.Platform
	platformURL string
	ledger      *imitator.Ledger
	engines     map[string]*imitator.Engine
	proxies     map[string]*disturber.Proxy
	agents      map[string]*process
	upstreams   map[string]string
	instances   []storekeeper.Instance
}

// readCommandSources reads the command's files, so that a change to them
// invalidates cached test results: go test tracks the files that a test opens.
func readCommandSources(t testing.TB) {
	t.Helper()
	sources, err := filepath.Glob("../../cmd/trefoilseam/*.go")
	if err != nil || len(sources) == 0 {
		t.Fatal("no source files of the command found", err)
	}
	for _, source := range sources {
		if _, err := os.ReadFile(source); err != nil {
			t.Fatal(err)
		}
	}
}

// newRig returns a rig whose platform holds the configuration.
func newRig(t testing.TB, bundle resolver.Bundle) *rig {
	t.Helper()
	readCommandSources(t)
	rig := &rig{
		t:         t,
		clock:     timekeeper.Wall(),
		ledger:    imitator.NewLedger(),
		engines:   map[string]*imitator.Engine{},
		proxies:   map[string]*disturber.Proxy{},
		agents:    map[string]*process{},
		upstreams: map[string]string{},
		platform:  imitator.NewPlatform(timekeeper.Wall()),
	}
	rig.platformURL = rig.serve(rig.platform.Handler())
	if _, err := publisher.Accept(t.Context(), rig.platform.InProcess(), bundle, 0, "rig"); err != nil {
		t.Fatal(err)
	}
	return rig
}

// serve runs an HTTP server for the handler until the test ends and returns its URL.
func (rig *rig) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	rig.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// addPlanner starts an engine of the planner service and its agent.
func (rig *rig) addPlanner(name string, settings imitator.EngineSettings) *process {
	settings.Name, settings.Clock = name, rig.clock
	engine, stop := imitator.NewEngine(settings)
	rig.t.Cleanup(stop)
	rig.engines[name] = engine
	return rig.addAgent("planner", name, rig.serve(engine.Handler()))
}

// addOrders starts a replica of the plain orders service and its agent.
func (rig *rig) addOrders(name string, work timekeeper.Span) *process {
	service := imitator.NewService(imitator.ServiceSettings{Name: name, Ledger: rig.ledger, Work: work, Clock: rig.clock})
	return rig.addAgent("orders", name, rig.serve(service))
}

// addAgent starts an agent behind a proxy and puts it on the instance list.
func (rig *rig) addAgent(service, name, upstream string) *process {
	agent := rig.start("agent", rig.agentSettings(service, name, upstream))
	proxy, closeProxy, err := disturber.New(agent.address, rig.clock)
	if err != nil {
		rig.t.Fatal(err)
	}
	rig.t.Cleanup(closeProxy)
	rig.proxies[name] = proxy
	rig.agents[name] = agent
	rig.upstreams[name] = upstream
	rig.instances = append(rig.instances, storekeeper.Instance{
		Name: name, Service: service, Address: proxy.Address(), Site: "bole",
	})
	rig.platform.SetInstances(rig.instances)
	return agent
}

func (rig *rig) agentSettings(service, name, upstream string) string {
	return fmt.Sprintf("name = %q\nsite = \"bole\"\nlisten = \"127.0.0.1:0\"\nadmin-listen = \"127.0.0.1:0\"\n"+
		"platform = %q\nservice = %q\nupstream = %q\n", name, rig.platformURL, service, upstream)
}

// addEntry starts an entry.
func (rig *rig) addEntry(name string) *process {
	return rig.start("entry", fmt.Sprintf("name = %q\nsite = \"bole\"\nlisten = \"127.0.0.1:0\"\n"+
		"admin-listen = \"127.0.0.1:0\"\nplatform = %q\n", name, rig.platformURL))
}

// process is an entry or agent that runs as a process of its own.
type process struct {
	t       testing.TB
	command *exec.Cmd
	address string
	admin   string
	done    chan struct{}

	mu    sync.Mutex
	lines []logLine
}

// logLine is the part of a log line that tests read.
type logLine struct {
	Message string `json:"msg"`
	Address string `json:"address"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request-id"`
}

// start runs a command with settings and waits until it listens on both addresses.
func (rig *rig) start(command, settings string) *process {
	rig.t.Helper()
	file := filepath.Join(rig.t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		rig.t.Fatal(err)
	}
	started := &process{t: rig.t, done: make(chan struct{})}
	started.command = exec.CommandContext(context.Background(), binary, command, "-settings", file)
	stderr, err := started.command.StderrPipe()
	if err != nil {
		rig.t.Fatal(err)
	}
	if err := started.command.Start(); err != nil {
		rig.t.Fatal(err)
	}
	ready := make(chan struct{})
	go started.readLog(stderr, ready)
	rig.t.Cleanup(started.kill)
	select {
	case <-ready:
	case <-started.done:
		rig.t.Fatalf("%s exited before it listened: %v", command, started.lines)
	}
	return started
}

// readLog collects log lines and closes ready once both addresses are known.
func (proc *process) readLog(stderr io.Reader, ready chan struct{}) {
	defer close(proc.done)
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			line.Message = lines.Text()
		}
		proc.mu.Lock()
		proc.lines = append(proc.lines, line)
		switch line.Message {
		case "listening":
			proc.address = line.Address
		case "admin listening":
			proc.admin = line.Address
			close(ready)
		}
		proc.mu.Unlock()
	}
}

// logged returns the log lines with the message.
func (proc *process) logged(message string) []logLine {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	var found []logLine
	for _, line := range proc.lines {
		if line.Message == message {
			found = append(found, line)
		}
	}
	return found
}

func (proc *process) signal(signal syscall.Signal) {
	if err := proc.command.Process.Signal(signal); err != nil {
		proc.t.Log(err)
	}
}

// kill sends SIGKILL, which also ends a stopped process, and waits for the exit.
func (proc *process) kill() {
	_ = proc.command.Process.Kill()
	<-proc.done
	_ = proc.command.Wait()
}

// stop sends SIGTERM for a graceful stop and returns the exit code.
func (proc *process) stop() int {
	proc.signal(syscall.SIGTERM)
	return proc.waitForExit()
}

// exitTimeout is how long a process may take to exit after a signal; all calls that
// tests have in flight end far sooner.
const exitTimeout = 15 * timekeeper.Second

// waitForExit waits until the process exits and returns its exit code. After
// exitTimeout it ends the process with SIGQUIT and logs its lines.
func (proc *process) waitForExit() int {
	late, release := timekeeper.Wall().After(exitTimeout)
	defer release()
	select {
	case <-proc.done:
	case <-late:
		// SIGQUIT makes the process print its goroutine stacks, which show what it waits
		// for.
		proc.signal(syscall.SIGQUIT)
		<-proc.done
		for _, line := range proc.lines {
			proc.t.Log(line.Message)
		}
	}
	_ = proc.command.Wait()
	return proc.command.ProcessState.ExitCode()
}

// reply is the answer to a call.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set when the call failed or its answer was cut off; body is then incomplete.
	err error
}

// ran returns the member "ran" of a problem, or "" when the answer is no problem.
func (got reply) ran() string {
	var problem struct {
		Ran string `json:"ran"`
	}
	if json.Unmarshal([]byte(got.body), &problem) != nil {
		return ""
	}
	return problem.Ran
}

// call makes one call with teamKey; headers are pairs of name and value.
func (proc *process) call(ctx context.Context, method, path, body string, headers ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+proc.address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+teamKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// chatBody returns the request body of a streamed chat completion.
func chatBody(maxTokens int, words string) string {
	return `{"model":"planner","stream":true,"max_tokens":` + strconv.Itoa(maxTokens) +
		`,"messages":[{"role":"user","content":` + strconv.Quote(words) + `}]}`
}

// eventually waits until the condition holds. It fails the test after about 30 seconds,
// or when the test's context ends.
func (rig *rig) eventually(what string, condition func() bool) {
	rig.t.Helper()
	const rounds, pause = 1500, 20 * timekeeper.Millisecond
	for range rounds {
		if condition() {
			return
		}
		if rig.clock.Sleep(rig.t.Context(), pause) != nil {
			break
		}
	}
	rig.t.Fatalf("timed out waiting for: %s", what)
}
