package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// settingsText is what the deploy file's template gives for an entry of a small deployment.
const settingsText = `name = %q
data-centre = "bole-hall"
listen = %q
ready-listen = %q
metrics-listen = %q
peer-listen = %q
store = %q
memory-megabytes = 284
descriptors = 4100
stop-grace = "8s"
drain-time = "2000ms"
bound = 2
%s[retry]
window = "10s"
ratio = 0.2
extra = 52

[cold]

[overload]
team-shares = true
return-times = true
`

// entry is an entry that runs as a process.
type entry struct {
	site                          *site
	name, store                   string
	listen, ready, metrics, peers string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// disturbedAt is when the process was last started or asked to stop.
	disturbedAt timekeeper.Instant
	up          bool
}

// start starts the process and waits until it is ready.
func (entry *entry) start(ctx context.Context, first bool) error {
	line := ""
	if first {
		line = "first-start = true\n"
	}
	file := filepath.Join(entry.site.folder, entry.name+".toml")
	text := fmt.Sprintf(settingsText, entry.name, entry.listen, entry.ready, entry.metrics, entry.peers, entry.store, line)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), entry.site.binary, "entry", "-direct", "-settings", file)
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			entry.recordLine(lines.Bytes())
		}
		_ = command.Wait()
	}()
	entry.mu.Lock()
	entry.command, entry.ended, entry.disturbedAt = command, ended, entry.site.clock.Now()
	entry.mu.Unlock()
	for entry.site.status(ctx, "http://"+entry.ready+"/trefoilseam/ready") != http.StatusOK {
		if err := entry.site.clock.Sleep(ctx, 20); err != nil {
			return err
		}
		select {
		case <-ended:
			return errors.New("the entry ended before it was ready")
		default:
		}
	}
	entry.setUp(true)
	entry.site.record.add("%s is ready", entry.name)
	return nil
}

// recordLine records the lines of an entry that say why a request was kept from replicas.
func (entry *entry) recordLine(text []byte) {
	var line struct {
		Message string `json:"msg"`
	}
	if json.Unmarshal(text, &line) == nil && (line.Message == "request struck" || line.Message == "copy not confirmed in time") {
		entry.site.record.add("%s logs: %s", entry.name, text)
	}
}

func (entry *entry) setUp(up bool) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.up = up
}

func (entry *entry) isUp() bool {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.up
}

// inTouch reports whether the process has run undisturbed for contactTime.
func (entry *entry) inTouch(now timekeeper.Instant) bool {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return now.Since(entry.disturbedAt) > contactTime
}

// terminate sends SIGTERM, as the platform does to replace a process, and waits for the end. The
// platform gives it no new requests once it isn't ready.
func (entry *entry) terminate() {
	entry.setUp(false)
	entry.site.record.add("%s gets SIGTERM", entry.name)
	entry.signal(syscall.SIGTERM)
	entry.wait(graceTime)
	entry.site.record.add("%s has ended", entry.name)
}

func (entry *entry) signal(signal syscall.Signal) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.command != nil {
		entry.disturbedAt = entry.site.clock.Now()
		_ = entry.command.Process.Signal(signal)
	}
}

// wait waits for the end of the process, and kills it after a time.
func (entry *entry) wait(patience timekeeper.Span) {
	entry.mu.Lock()
	ended := entry.ended
	entry.mu.Unlock()
	if ended == nil {
		return
	}
	fired, release := entry.site.clock.After(patience)
	defer release()
	select {
	case <-ended:
	case <-fired:
		entry.signal(syscall.SIGKILL)
		<-ended
	}
}

// hasEnded reports whether the process has ended.
func (entry *entry) hasEnded() bool {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	select {
	case <-entry.ended:
		return true
	default:
		return false
	}
}
