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

	// The binary is built from this package and what it imports. Importing it
	// makes go test run anew when one of them has changed.
	_ "github.com/trefoilseam/trefoilseam/internal/assembler"
	"github.com/trefoilseam/trefoilseam/internal/disturber"
	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
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
	// Most tests wait for processes and use little of a core, so as many run side
	// by side on any machine. The command line may say otherwise.
	const sideBySide = "12"
	if err := flag.Set("test.parallel", sideBySide); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// teamKey is the key of the one team in siteConfig.
const teamKey = "rig-key"

// siteConfig is the configuration that most tests run under.
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

// rig is one site: stand-ins in the test process, entries and agents as real
// processes, and a fault-injecting proxy before each agent.
type rig struct {
	t         testing.TB
	clock     timekeeper.Clock
	platform  *imitator.Platform
	base      string
	ledger    *imitator.Ledger
	engines   map[string]*imitator.Engine
	proxies   map[string]*disturber.Proxy
	agents    map[string]*process
	upstreams map[string]string
	instances []storekeeper.Instance
}

// noteSources reads the command's files, so that go test runs anew when they
// have changed. Only what a test itself opens counts for that.
func noteSources(t testing.TB) {
	t.Helper()
	sources, err := filepath.Glob("../../cmd/trefoilseam/*.go")
	if err != nil || len(sources) == 0 {
		t.Fatal("the command's files are not there", err)
	}
	for _, source := range sources {
		if _, err := os.ReadFile(source); err != nil {
			t.Fatal(err)
		}
	}
}

// newRig returns a rig with a platform that holds the configuration.
func newRig(t testing.TB, bundle resolver.Bundle) *rig {
	t.Helper()
	noteSources(t)
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
	rig.base = rig.serve(rig.platform.Handler())
	if _, err := publisher.Accept(t.Context(), rig.platform.InProcess(), bundle, 0, "rig"); err != nil {
		t.Fatal(err)
	}
	return rig
}

// serve serves a stand-in until the test ends.
func (rig *rig) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	rig.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// addPlanner starts an engine and its agent.
func (rig *rig) addPlanner(name string, settings imitator.EngineSettings) *process {
	settings.Name, settings.Clock = name, rig.clock
	engine, stop := imitator.NewEngine(settings)
	rig.t.Cleanup(stop)
	rig.engines[name] = engine
	return rig.addAgent("planner", name, rig.serve(engine.Handler()))
}

// addOrders starts a replica of the plain service and its agent.
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
		"platform = %q\nservice = %q\nupstream = %q\n", name, rig.base, service, upstream)
}

// addEntry starts an entry.
func (rig *rig) addEntry(name string) *process {
	return rig.start("entry", fmt.Sprintf("name = %q\nsite = \"bole\"\nlisten = \"127.0.0.1:0\"\n"+
		"admin-listen = \"127.0.0.1:0\"\nplatform = %q\n", name, rig.base))
}

// process is one real process of the system.
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

// start runs a command with settings and waits until it listens.
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
	go started.read(stderr, ready)
	rig.t.Cleanup(started.kill)
	select {
	case <-ready:
	case <-started.done:
		rig.t.Fatalf("%s ended before it listened: %v", command, started.lines)
	}
	return started
}

// read collects log lines; ready closes once both addresses are known.
func (proc *process) read(stderr io.Reader, ready chan struct{}) {
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

// kill ends the process at once; a stopped one too.
func (proc *process) kill() {
	_ = proc.command.Process.Kill()
	<-proc.done
	_ = proc.command.Wait()
}

// stop asks for a graceful stop and returns the exit code.
func (proc *process) stop() int {
	proc.signal(syscall.SIGTERM)
	return proc.ended()
}

// longestEnd is how long a process may take to end after it was told to; all
// that tests have in flight ends far sooner.
const longestEnd = 15 * timekeeper.Second

// ended waits for the end of the process and returns its exit code.
func (proc *process) ended() int {
	late, release := timekeeper.Wall().After(longestEnd)
	defer release()
	select {
	case <-proc.done:
	case <-late:
		// The stacks are in its log, so that what it waits for can be seen.
		proc.signal(syscall.SIGQUIT)
		<-proc.done
		for _, line := range proc.lines {
			proc.t.Log(line.Message)
		}
	}
	_ = proc.command.Wait()
	return proc.command.ProcessState.ExitCode()
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set when the answer was cut: it must not be taken for whole.
	err error
}

// ran returns the member "ran" of a problem, or "" when the answer is none.
func (got reply) ran() string {
	var problem struct {
		Ran string `json:"ran"`
	}
	if json.Unmarshal([]byte(got.body), &problem) != nil {
		return ""
	}
	return problem.Ran
}

// call makes one call with the rig's team key; headers come in pairs.
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

// chat returns the body of a streamed chat completion.
func chat(maxTokens int, words string) string {
	return `{"model":"planner","stream":true,"max_tokens":` + strconv.Itoa(maxTokens) +
		`,"messages":[{"role":"user","content":` + strconv.Quote(words) + `}]}`
}

// eventually waits until the condition holds; it gives up with the test's deadline.
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
	rig.t.Fatalf("never came true: %s", what)
}
