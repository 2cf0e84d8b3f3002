package integration

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// resources returns the resident memory of a process in KiB, its number of threads
// and its number of open descriptors.
func (proc *process) resources() (memory, threads, descriptors int) {
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

// Bounds on the resources of a process: a base plus a share for each replica.
// Resident memory varies by some 20 in 100 from run to run. A session that is
// kept twice or a table that grows with calls exceeds the bounds.
const (
	maxKiBPerReplica         = 160
	maxDescriptorsPerReplica = 2
	maxIdleKiB               = 48 << 10
	maxIdleDescriptors       = 32
)

// BenchmarkSlopesOfProcesses reports memory and descriptors of real processes
// by the number of replicas.
func BenchmarkSlopesOfProcesses(b *testing.B) {
	for _, replicas := range []int{2, 32, 96} {
		b.Run("replicas="+strconv.Itoa(replicas), func(b *testing.B) {
			for b.Loop() {
				reportProcesses(b, replicas)
			}
		})
	}
}

// reportProcesses starts replicas and reports the resources of an entry and an agent.
func reportProcesses(b *testing.B, replicas int) {
	rig := newRig(b, siteConfig())
	entry := rig.startFleet(replicas)
	for i := range 4 * replicas {
		entry.call(b.Context(), "POST", "/orders", strconv.Itoa(i))
	}
	for _, measured := range []struct {
		role string
		proc *process
	}{{"entry", entry}, {"agent", rig.agents["orders-1"]}} {
		memory, threads, descriptors := measured.proc.resources()
		b.ReportMetric(float64(memory), measured.role+"-KiB")
		b.ReportMetric(float64(threads), measured.role+"-threads")
		b.ReportMetric(float64(descriptors), measured.role+"-descriptors")
		b.ReportMetric(float64(measured.proc.statusPage().Control.PerSecond), measured.role+"-control-B/s")
		if bound := maxIdleKiB + maxKiBPerReplica*replicas; memory > bound {
			b.Fatalf("%s holds %d KiB, bound %d", measured.role, memory, bound)
		}
		if bound := maxIdleDescriptors + maxDescriptorsPerReplica*replicas; descriptors > bound {
			b.Fatalf("%s holds %d descriptors, bound %d", measured.role, descriptors, bound)
		}
	}
	for _, agent := range rig.agents {
		agent.kill()
	}
	entry.kill()
}
