package stage

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// The deploy file, and the path in its command at which the platform places the settings.
const (
	deployFile   = "deploy/system.toml"
	settingsPath = "/etc/trefoilseam/node.conf"
)

// Machine is a machine of the class front, on which an entry runs.
type Machine struct {
	Name string
	// Front is where clients reach the entry.
	Front string

	platform *Platform
	ready    string
	command  *exec.Cmd
	memory   int64

	mu sync.Mutex
	// ended is set once the process has ended, and killed if that was for its memory.
	ended, killed bool
	peak          int64
	done          chan struct{}
}

// MachineSettings are the figures of a machine.
type MachineSettings struct {
	Name, Zone             string
	Megabytes, Descriptors int
	// Bounds are further fields of the settings, by their names on the users' pages.
	Bounds map[string]any
}

// metricsPort is the port of the deploy file's metrics.
const metricsPort = "9464"

// freeAddress returns an address of the loopback network at which the metrics' port is free.
func freeAddress() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
		listener, err := listen(net.JoinHostPort(ip, metricsPort))
		if err == nil {
			return ip, listener.Close()
		}
	}
	return "", eris.New("no free loopback address")
}

// freePorts returns ports that are free at an address, for TCP and UDP.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range 100 * count {
		if len(ports) == count {
			return ports, nil
		}
		port := 20_000 + rand.IntN(12_000)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		stream, err := listen(address)
		if err != nil {
			continue
		}
		packets, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", address)
		_ = stream.Close()
		if err == nil {
			_ = packets.Close()
			ports = append(ports, port)
		}
	}
	return nil, eris.New("no free ports")
}

// fields returns the platform's fields of the settings.
func (platform *Platform) fields(settings MachineSettings, ip string, ports []int) map[string]any {
	fields := map[string]any{
		"node": settings.Name, "zone": settings.Zone, "ip": ip, "bootstrap": true,
		"listen.front": fmt.Sprintf("%s:%d", ip, ports[0]), "listen.ready": fmt.Sprintf("%s:%d", ip, ports[1]),
		"internalPorts.0": ports[2], "provider.address": platform.address,
		"limits.memoryMb": settings.Megabytes, "limits.maxFds": settings.Descriptors,
		"bounds.graceS": 8, "bounds.capX": 2, "bounds.budgetWindowS": 10, "bounds.budgetRatio": 0.2, "bounds.budgetExtra": 52,
	}
	for name, value := range settings.Bounds {
		fields[name] = value
	}
	return fields
}

// deployed is what the deploy file says of the role that runs entries.
type deployed struct {
	Roles map[string]struct {
		Run      string `toml:"run"`
		Template string `toml:"template"`
	} `toml:"roles"`
}

// StartMachine starts an entry with the command of the deploy file, and waits until it is ready.
func (platform *Platform) StartMachine(settings MachineSettings) (*Machine, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	var deploy deployed
	if err := toml.Unmarshal(text, &deploy); err != nil {
		return nil, err
	}
	role := deploy.Roles["entry"]
	template, err := os.ReadFile(role.Template)
	if err != nil {
		return nil, err
	}
	ip, err := freeAddress()
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	fields := platform.fields(settings, ip, ports)
	file := filepath.Join(platform.Dir, settings.Name+".toml")
	if err := os.WriteFile(file, []byte(fill(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	machine := &Machine{
		Name: settings.Name, Front: fmt.Sprint(fields["listen.front"]), platform: platform, ready: fmt.Sprint(fields["listen.ready"]),
		memory: int64(settings.Megabytes) << 20, done: make(chan struct{}),
	}
	if err := machine.start(strings.Fields(strings.ReplaceAll(role.Run, settingsPath, file))); err != nil {
		return nil, err
	}
	return machine, machine.waitReady()
}

// start starts the process, which writes its log to a file.
func (machine *Machine) start(command []string) error {
	log, err := os.Create(filepath.Join(machine.platform.Dir, machine.Name+".log"))
	if err != nil {
		return err
	}
	machine.command = exec.CommandContext(context.Background(), command[0], command[1:]...) //nolint:gosec // The deploy file's command.
	machine.command.Stdout, machine.command.Stderr = log, log
	if err := machine.command.Start(); err != nil {
		return err
	}
	machine.platform.Record.Add("start %s pid=%d front=%s", machine.Name, machine.command.Process.Pid, machine.Front)
	machine.platform.cleanups = append(machine.platform.cleanups, machine.Stop)
	go func() {
		_ = machine.command.Wait()
		machine.mu.Lock()
		machine.ended = true
		machine.mu.Unlock()
		_ = log.Close()
		close(machine.done)
	}()
	go machine.watchMemory()
	return nil
}

// memoryInterval is the time between two looks at the memory of a process.
const memoryInterval = 10 * timekeeper.Millisecond

// watchMemory kills the process if it takes more memory than its machine allows, as the platform does.
func (machine *Machine) watchMemory() {
	for machine.platform.Clock.Sleep(context.Background(), memoryInterval) == nil && !machine.Ended() {
		used := anonymousMemory(machine.command.Process.Pid)
		machine.mu.Lock()
		machine.peak = max(machine.peak, used)
		over := used > machine.memory && !machine.ended
		machine.killed = machine.killed || over
		machine.mu.Unlock()
		if over {
			machine.platform.Record.Say("kill %s: it takes %d MB of memory, over %d MB", machine.Name, used>>20, machine.memory>>20)
			_ = machine.command.Process.Kill()
			return
		}
	}
}

// anonymousMemory returns the resident memory of a process in bytes, without that of files.
func anonymousMemory(pid int) int64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		fields := strings.Fields(string(line))
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// Ended reports whether the process has ended.
func (machine *Machine) Ended() bool {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.ended
}

// KilledForMemory reports whether the platform killed the process for its memory.
func (machine *Machine) KilledForMemory() bool {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.killed
}

// PeakMemory returns the most memory that the process has taken, in bytes.
func (machine *Machine) PeakMemory() int64 {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.peak
}

// Stop ends the process.
func (machine *Machine) Stop() {
	if !machine.Ended() {
		_ = machine.command.Process.Kill()
		<-machine.done
	}
}

// startTime is how long an entry may take to become ready.
const startTime = 10 * timekeeper.Second

// waitReady waits until the entry says that it takes clients.
func (machine *Machine) waitReady() error {
	clock := machine.platform.Clock
	for deadline := clock.Now().Add(startTime); clock.Now() < deadline; _ = clock.Sleep(context.Background(), 20) {
		if machine.isReady() {
			machine.platform.Record.Add("ready %s", machine.Name)
			return nil
		}
	}
	return eris.Errorf("%s is not ready", machine.Name)
}

func (machine *Machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), timekeeper.Second.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine.ready+"/trefoilseam/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
