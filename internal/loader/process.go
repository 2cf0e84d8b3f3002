package loader

import (
	"os"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Process holds the settings that entries and agents have in common.
type Process struct {
	Name string `toml:"name"`
	// Site is the data centre that the process runs in.
	Site   string `toml:"site"`
	Region string `toml:"region"`
	// Listen is the address for callers (entry) or for the fleet (agent).
	Listen string `toml:"listen"`
	// AdminListen is the address for status and metrics; empty means none.
	AdminListen string `toml:"admin-listen"`
	// Platform is the base address of the platform's services.
	Platform string `toml:"platform"`
	// Peers are the addresses of agents that the process asks for the configuration
	// and the live members if the platform doesn't answer when the process starts.
	Peers []string `toml:"peers"`
	// MembershipInterval is the interval at which the process exchanges membership with
	// other processes; zero means one second. The timeout of a silent member is a
	// multiple of it.
	MembershipInterval timekeeper.Span `toml:"membership-round"`
	// LogLevel is a log level of logrus; empty means "info".
	LogLevel string `toml:"log-level"`
}

// Entry is the settings file of an entry.
type Entry struct {
	Process
	// StopDelay is how long a stopping entry reports "not ready" and still accepts
	// callers; zero means no delay.
	StopDelay timekeeper.Span `toml:"stop-delay"`
}

// Agent is the settings file of an agent.
type Agent struct {
	Process
	Service string `toml:"service"`
	// Upstream is the base address of the upstream instance.
	Upstream string `toml:"upstream"`
	// Advertise is the address at which other processes reach the agent; empty means
	// Listen.
	Advertise string `toml:"advertise"`
}

// ReadEntry reads the settings of an entry.
func ReadEntry(file string) (Entry, resolver.Faults) {
	var entry Entry
	faults := read(file, &entry, func(check *checker) { check.process(entry.Process) })
	return entry, faults
}

// ReadAgent reads the settings of an agent.
func ReadAgent(file string) (Agent, resolver.Faults) {
	var agent Agent
	faults := read(file, &agent, func(check *checker) {
		check.process(agent.Process)
		check.agent(agent)
	})
	return agent, faults
}

// read decodes the file into out and checks the values with inspect.
func read(file string, out any, inspect func(check *checker)) resolver.Faults {
	text, err := os.ReadFile(file)
	if err != nil {
		return resolver.Faults{{File: file, Reason: err.Error()}}
	}
	doc, faults := resolver.Decode(file, text, out)
	check := &checker{file: file, doc: doc, faults: faults}
	if doc.Empty() && len(faults) > 0 {
		return faults
	}
	for _, fault := range faults {
		check.badLines = append(check.badLines, fault.Line)
	}
	inspect(check)
	slices.SortStableFunc(check.faults, func(a, b resolver.Fault) int { return a.Line - b.Line })
	return check.faults
}
