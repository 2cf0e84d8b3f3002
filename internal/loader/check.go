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
	// badLines are the lines on which decoding found a fault. Keys on these lines are
	// neither checked further nor reported as missing.
	badLines []int
}

// add records a fault at the line of a key, unless the key is on one of badLines.
func (check *checker) add(key, remedy, reason string, args ...any) {
	line := check.doc.Line(key)
	if check.doc.Has(key) && slices.Contains(check.badLines, line) {
		return
	}
	check.faults = append(check.faults, resolver.Fault{
		File: check.file, Line: line, Reason: fmt.Sprintf(reason, args...), Remedy: remedy,
	})
}

// require reports whether a value is set, and records a fault if not.
func (check *checker) require(key, value string) bool {
	if value == "" {
		check.add(key, "add it", "%s is missing", key)
	}
	return value != ""
}

// process checks the settings that entries and agents have in common.
func (check *checker) process(process Process) {
	check.require("name", process.Name)
	check.require("site", process.Site)
	listen, listenValid := check.address("listen", process.Listen)
	if process.AdminListen != "" {
		admin, adminValid := check.address("admin-listen", process.AdminListen)
		if listenValid && adminValid && admin.Port() != 0 && admin == listen {
			check.add("admin-listen", "write another port", "admin-listen is the same address as listen, %s", admin)
		}
	}
	check.peers(process.Peers, listen)
	check.url("platform", process.Platform)
	check.level(process.LogLevel)
}

// level checks the log level; it may be empty.
func (check *checker) level(level string) {
	if _, err := logrus.ParseLevel(level); level != "" && err != nil {
		check.add("log-level", "write debug, info, warn or error", "log-level is %q", level)
	}
}

// peers checks the addresses of agents. It reports duplicates, and the process's
// own address.
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

// agent checks the settings that only agents have.
func (check *checker) agent(agent Agent) {
	check.require("service", agent.Service)
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
	if !check.require(key, value) {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		check.add(key, `write an IP number and a port, such as "127.0.0.1:8080"`, "%s is %q", key, value)
	}
	return address, err == nil
}

func (check *checker) url(key, value string) {
	if !check.require(key, value) {
		return
	}
	address, err := url.Parse(value)
	if err != nil || address.Scheme != "http" || address.Host == "" {
		check.add(key, `write an address such as "http://127.0.0.1:7000"`, "%s is %q", key, value)
	}
}
