package loader

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// checker collects the faults of one settings file.
type checker struct {
	file   string
	doc    resolver.Document
	faults resolver.Faults
	// bad are the lines whose values could not be read. Their keys are neither
	// missing nor to be checked further.
	bad []int
}

// add notes a fault at a key, unless its value could not be read at all.
func (check *checker) add(key, remedy, reason string, args ...any) {
	line := check.doc.Line(key)
	if check.doc.Has(key) && slices.Contains(check.bad, line) {
		return
	}
	check.faults = append(check.faults, resolver.Fault{
		File: check.file, Line: line, Reason: fmt.Sprintf(reason, args...), Remedy: remedy,
	})
}

// present reports whether a value is there, and notes a fault when it isn't.
func (check *checker) present(key, value string) bool {
	if value == "" {
		check.add(key, "add it", "%s is missing", key)
	}
	return value != ""
}

// process checks what every process has to know.
func (check *checker) process(process Process) {
	check.present("name", process.Name)
	check.present("site", process.Site)
	listen, bound := check.address("listen", process.Listen)
	if process.AdminListen != "" {
		admin, ok := check.address("admin-listen", process.AdminListen)
		if bound && ok && admin.Port() != 0 && admin == listen {
			check.add("admin-listen", "write another port", "admin-listen is the same address as listen, %s", admin)
		}
	}
	check.peers(process.Peers, listen)
	check.url("platform", process.Platform)
	check.level(process.LogLevel)
}

// level checks a level of the log; none is fine.
func (check *checker) level(level string) {
	if _, err := logrus.ParseLevel(level); level != "" && err != nil {
		check.add("log-level", "write debug, info, warn or error", "log-level is %q", level)
	}
}

// peers checks addresses of agents: each once, and none the process's own.
func (check *checker) peers(peers []string, own netip.AddrPort) {
	seen := make([]netip.AddrPort, 0, len(peers))
	for _, peer := range peers {
		address, ok := check.address("peers", peer)
		if !ok {
			continue
		}
		if slices.Contains(seen, address) {
			check.add("peers", "take one of them out", "peers has %s twice", address)
		}
		if address == own {
			check.add("peers", "take it out", "peers has %s, where the process itself listens", address)
		}
		seen = append(seen, address)
	}
}

// agent checks what an agent has to know beside.
func (check *checker) agent(agent Agent) {
	check.present("service", agent.Service)
	check.url("upstream", agent.Upstream)
	if agent.Upstream != "" && agent.Upstream == agent.Platform {
		check.add("upstream", "write the address of the upstream instance", "upstream is the same address as platform")
	}
	host, port, err := net.SplitHostPort(agent.Advertise)
	if agent.Advertise != "" && (err != nil || host == "" || port == "" || port == "0") {
		check.add("advertise", `write a host and a port, such as "10.0.0.7:7100"`, "advertise is %q", agent.Advertise)
	}
}

func (check *checker) address(key, value string) (netip.AddrPort, bool) {
	if !check.present(key, value) {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		check.add(key, `write an IP number and a port, such as "127.0.0.1:8080"`, "%s is %q", key, value)
	}
	return address, err == nil
}

func (check *checker) url(key, value string) {
	if !check.present(key, value) {
		return
	}
	address, err := url.Parse(value)
	if err != nil || address.Scheme != "http" || address.Host == "" {
		check.add(key, `write an address such as "http://127.0.0.1:7000"`, "%s is %q", key, value)
	}
}
