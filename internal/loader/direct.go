package loader

import (
	"cmp"
	"fmt"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/logger"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Direct is the settings file of an entry that sends requests directly to
// replicas, without agents, and reads the configuration and the list of replicas
// from the platform's store.
type Direct struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data-centre"`
	// Listen is the address for callers.
	Listen string `toml:"listen"`
	// ReadyListen is the address for readiness probes of the load balancer in front
	// of the entries.
	ReadyListen string `toml:"ready-listen"`
	// MetricsListen is the address for metrics; empty means none.
	MetricsListen string `toml:"metrics-listen"`
	// PeerListen is the address for peers, TCP and UDP.
	PeerListen string `toml:"peer-listen"`
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// LogLevel is a log level of logrus; empty means "info".
	LogLevel string `toml:"log-level"`
	// LogFormat is the format of log lines; empty means JSON.
	LogFormat logger.Format `toml:"log-format"`
	// MemoryMegabytes is the memory limit of the process; zero means none.
	MemoryMegabytes int `toml:"memory-megabytes"`
	// Descriptors is the maximum number of open file descriptors; zero means 1,024.
	Descriptors int `toml:"descriptors"`
	// StopDelay is how long a stopping entry reports "not ready" and still accepts
	// callers; zero means 2.3 s.
	StopDelay timekeeper.Span `toml:"stop-delay"`
	// StopGrace is how long the platform waits for a stopping process before it kills
	// it; zero means 8 s.
	StopGrace timekeeper.Span `toml:"stop-grace"`
	// DrainTime is how long after its row says that a replica leaves, or is removed, entries may still
	// send it requests; zero means 2 s.
	DrainTime timekeeper.Span `toml:"drain-time"`
	// LoadFactor is how many times the mean load of its service a replica may hold;
	// zero means 2.
	LoadFactor float64 `toml:"bound"`
	// MovePrice is how many prefilled prompt tokens cost the operators as much as the
	// transfer of a gigabyte between engines; zero means 2,300.
	MovePrice float64 `toml:"move-price"`
	// FirstStart reports whether all entries start for the first time, so that none of them
	// has a predecessor that may have spent retries.
	FirstStart bool `toml:"first-start"`
	// Retry bounds the retries of all entries together.
	Retry Retry `toml:"retry"`
	// Cold bounds the rate at which all entries together send to a cold replica.
	Cold Cold `toml:"cold"`
	// Overload says what the entry does while a service is full.
	Overload Overload `toml:"overload"`
}

// Overload says what an entry does while a service is full.
type Overload struct {
	// TeamShares shares the places of a full service among teams, over all entries.
	TeamShares bool `toml:"team-shares"`
	// ReturnTimes gives refused callers a time of return at which there is room.
	ReturnTimes bool `toml:"return-times"`
}

// Cold bounds how many requests a second all entries together send to a replica that has
// just started: the rate that its service tolerates, times RateFactor, plus Slack.
type Cold struct {
	// RateFactor must be at least 1; zero means 1.
	RateFactor float64 `toml:"over"`
	Slack      float64 `toml:"slack"`
}

// Retry bounds how many retries all entries together send to one service.
type Retry struct {
	// Window is the time over which requests and retries are counted; zero means 10 s.
	Window timekeeper.Span `toml:"window"`
	// Ratio is how many retries each request allows; zero means 0.2.
	Ratio float64 `toml:"ratio"`
	// Extra is how many retries per Window are allowed beyond Ratio; zero means 20.
	Extra float64 `toml:"extra"`
}

// Defaults of an entry that sends requests directly to replicas.
const (
	// The load balancer in front probes readiness once a second, and needs two probes
	// and an answer to notice that the entry stops.
	defaultStopDelay      = 2300 * timekeeper.Millisecond
	defaultStopGrace      = 8 * timekeeper.Second
	defaultDrainTime      = 2 * timekeeper.Second
	defaultLoadFactor     = 2
	defaultMovePrice      = balancer.DefaultTransferPrice
	defaultRetryWindow    = 10 * timekeeper.Second
	defaultRetryRatio     = 0.2
	defaultRetryExtra     = 20
	defaultColdRateFactor = 1
)

// minDrainTime is the shortest time in which an entry can notice that its list is old and read it anew.
const minDrainTime = 500 * timekeeper.Millisecond

// WithDefaults returns the settings with every zero value replaced by its default.
func (direct Direct) WithDefaults() Direct {
	direct.StopDelay = cmp.Or(direct.StopDelay, defaultStopDelay)
	direct.StopGrace = cmp.Or(direct.StopGrace, defaultStopGrace)
	direct.DrainTime = cmp.Or(direct.DrainTime, defaultDrainTime)
	direct.LoadFactor = cmp.Or(direct.LoadFactor, defaultLoadFactor)
	direct.MovePrice = cmp.Or(direct.MovePrice, defaultMovePrice)
	direct.Retry.Window = cmp.Or(direct.Retry.Window, defaultRetryWindow)
	direct.Retry.Ratio = cmp.Or(direct.Retry.Ratio, defaultRetryRatio)
	direct.Retry.Extra = cmp.Or(direct.Retry.Extra, defaultRetryExtra)
	direct.Cold.RateFactor = cmp.Or(direct.Cold.RateFactor, defaultColdRateFactor)
	return direct
}

// ReadDirect reads the settings of an entry that sends requests directly to replicas.
func ReadDirect(file string) (Direct, resolver.Faults) {
	var direct Direct
	faults := read(file, &direct, func(check *checker) { check.direct(direct) })
	return direct.WithDefaults(), faults
}

// direct checks the settings of an entry that sends requests directly to replicas.
func (check *checker) direct(direct Direct) {
	check.require("name", direct.Name)
	check.require("data-centre", direct.DataCentre)
	check.address("listen", direct.Listen)
	check.address("ready-listen", direct.ReadyListen)
	check.address("peer-listen", direct.PeerListen)
	check.address("store", direct.Store)
	if direct.MetricsListen != "" {
		check.address("metrics-listen", direct.MetricsListen)
	}
	check.level(direct.LogLevel)
	if !direct.LogFormat.Valid() {
		check.add("log-format", "write json or logfmt", "log-format is %q", string(direct.LogFormat))
	}
	if direct.Cold.RateFactor != 0 && direct.Cold.RateFactor < 1 {
		check.add("cold.over", "write 1 or more or leave it out", "cold.over is %v, under the rate that a service tolerates", direct.Cold.RateFactor)
	}
	if direct.DrainTime > 0 && direct.DrainTime < minDrainTime {
		check.add("drain-time", "write 500ms or more or leave it out", "drain-time is %s, too short to ask the store twice", direct.DrainTime)
	}
	numbers := []struct {
		key   string
		value float64
	}{
		{"stop-delay", float64(direct.StopDelay)}, {"stop-grace", float64(direct.StopGrace)}, {"drain-time", float64(direct.DrainTime)}, {"bound", direct.LoadFactor}, {"move-price", direct.MovePrice},
		{"retry.window", float64(direct.Retry.Window)}, {"retry.ratio", direct.Retry.Ratio},
		{"retry.extra", direct.Retry.Extra}, {"memory-megabytes", float64(direct.MemoryMegabytes)},
		{"descriptors", float64(direct.Descriptors)}, {"cold.over", direct.Cold.RateFactor}, {"cold.slack", direct.Cold.Slack},
	}
	for _, number := range numbers {
		if number.value < 0 {
			check.add(number.key, "write a positive value or leave it out", "%s is %s", number.key, fmt.Sprint(number.value))
		}
	}
}
