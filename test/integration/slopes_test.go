package integration

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// resident returns the resident memory of a process in KiB, its threads and
// its open descriptors.
func (proc *process) resident() (memory, threads, descriptors int) {
	base := "/proc/" + strconv.Itoa(proc.command.Process.Pid)
	text, err := os.ReadFile(base + "/status")
	if err != nil {
		proc.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		switch {
		case len(fields) > 1 && fields[0] == "VmRSS:":
			memory, _ = strconv.Atoi(fields[1])
		case len(fields) > 1 && fields[0] == "Threads:":
			threads, _ = strconv.Atoi(fields[1])
		}
	}
	open, err := os.ReadDir(base + "/fd")
	if err != nil {
		proc.t.Fatal(err)
	}
	return memory, threads, len(open)
}

// TestSlopesOfProcesses prints memory and descriptors of real processes by the
// number of replicas. It asserts nothing: the figures depend on the machine.
func TestSlopesOfProcesses(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints only")
	}
	for _, replicas := range []int{2, 8, 32} {
		rig := newRig(t, siteConfig())
		entry := rig.fleet(replicas)
		for i := range 4 * replicas {
			entry.call(t.Context(), "POST", "/orders", strconv.Itoa(i))
		}
		for _, one := range []struct {
			role string
			proc *process
		}{{"entry", entry}, {"agent", rig.agents["orders-1"]}} {
			memory, threads, descriptors := one.proc.resident()
			t.Logf("replicas %d: %s has %d KiB resident, %d threads, %d descriptors, control %d B/s", replicas, one.role,
				memory, threads, descriptors, one.proc.beliefs().Control.PerSecond)
		}
		for _, agent := range rig.agents {
			agent.kill()
		}
		entry.kill()
	}
}
