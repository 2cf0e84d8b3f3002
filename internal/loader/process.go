package loader

import (
	"fmt"
	"net"
	"net/url"
	"os"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Process is what every process has to know.
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
	// Peers are addresses of agents that are asked for the configuration, and
	// for who is live, when the platform doesn't answer at the start of the process.
	Peers []string `toml:"peers"`
	// MembershipRound is the time between two rounds in which the process hears
	// of others; zero means one second. How long silence is borne follows it.
	MembershipRound timekeeper.Span `toml:"membership-round"`
	// LogLevel is a level of logrus; empty means "info".
	LogLevel string `toml:"log-level"`
}

// Entry is the settings file of an entry.
type Entry struct {
	Process
}

// Agent is the settings file of an agent.
type Agent struct {
	Process
	Service string `toml:"service"`
	// Upstream is the base address of the upstream instance.
	Upstream string `toml:"upstream"`
	// Advertise is the address by which others reach the agent; empty means
	// the one that it listens on.
	Advertise string `toml:"advertise"`
}

// ReadEntry reads the settings of an entry.
func ReadEntry(file string) (Entry, resolver.Faults) {
	var entry Entry
	faults := read(file, &entry)
	if len(faults) == 0 {
		faults = entry.check(file)
	}
	return entry, faults
}

// ReadAgent reads the settings of an agent.
func ReadAgent(file string) (Agent, resolver.Faults) {
	var agent Agent
	faults := read(file, &agent)
	if len(faults) > 0 {
		return agent, faults
	}
	faults = agent.check(file)
	if agent.Service == "" {
		faults = append(faults, missing(file, "service"))
	}
	return agent, append(faults, checkURL(file, "upstream", agent.Upstream)...)
}

func read(file string, out any) resolver.Faults {
	text, err := os.ReadFile(file)
	if err != nil {
		return resolver.Faults{{File: file, Reason: err.Error()}}
	}
	return resolver.Decode(file, text, out)
}

func (process Process) check(file string) resolver.Faults {
	var faults resolver.Faults
	if process.Name == "" {
		faults = append(faults, missing(file, "name"))
	}
	if process.Site == "" {
		faults = append(faults, missing(file, "site"))
	}
	faults = append(faults, checkAddress(file, "listen", process.Listen)...)
	if process.AdminListen != "" {
		faults = append(faults, checkAddress(file, "admin-listen", process.AdminListen)...)
	}
	for _, peer := range process.Peers {
		faults = append(faults, checkAddress(file, "peers", peer)...)
	}
	return append(faults, checkURL(file, "platform", process.Platform)...)
}

func missing(file, key string) resolver.Fault {
	return resolver.Fault{File: file, Reason: key + " is missing"}
}

func checkAddress(file, key, value string) resolver.Faults {
	if value == "" {
		return resolver.Faults{missing(file, key)}
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		reason := fmt.Sprintf("%s is %q; write an IP number and a port, such as \"127.0.0.1:8080\"", key, value)
		return resolver.Faults{{File: file, Reason: reason}}
	}
	return nil
}

func checkURL(file, key, value string) resolver.Faults {
	if value == "" {
		return resolver.Faults{missing(file, key)}
	}
	address, err := url.Parse(value)
	if err != nil || address.Scheme != "http" || address.Host == "" {
		reason := fmt.Sprintf("%s is %q; write an address such as \"http://127.0.0.1:7000\"", key, value)
		return resolver.Faults{{File: file, Reason: reason}}
	}
	return nil
}
