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

// Bounds of what one more replica costs a process. Resident memory varies by
// some 20 in 100 from run to run; a session that is kept twice, or a table that
// grows with calls, breaks them.
const (
	mostKiBAReplica         = 160
	mostDescriptorsAReplica = 2
	mostIdleKiB             = 48 << 10
	mostIdleDescriptors     = 32
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

// reportProcesses starts so many replicas and reports what entry and agent hold.
func reportProcesses(b *testing.B, replicas int) {
	rig := newRig(b, siteConfig())
	entry := rig.fleet(replicas)
	for i := range 4 * replicas {
		entry.call(b.Context(), "POST", "/orders", strconv.Itoa(i))
	}
	for _, one := range []struct {
		role string
		proc *process
	}{{"entry", entry}, {"agent", rig.agents["orders-1"]}} {
		memory, threads, descriptors := one.proc.resident()
		b.ReportMetric(float64(memory), one.role+"-KiB")
		b.ReportMetric(float64(threads), one.role+"-threads")
		b.ReportMetric(float64(descriptors), one.role+"-descriptors")
		b.ReportMetric(float64(one.proc.beliefs().Control.PerSecond), one.role+"-control-B/s")
		if most := mostIdleKiB + mostKiBAReplica*replicas; memory > most {
			b.Fatalf("%s holds %d KiB, bound %d", one.role, memory, most)
		}
		if most := mostIdleDescriptors + mostDescriptorsAReplica*replicas; descriptors > most {
			b.Fatalf("%s holds %d descriptors, bound %d", one.role, descriptors, most)
		}
	}
	for _, agent := range rig.agents {
		agent.kill()
	}
	entry.kill()
}
