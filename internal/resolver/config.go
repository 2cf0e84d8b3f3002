package resolver

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ServiceKind tells how the calls of a service are treated.
type ServiceKind string

// The kinds of service.
const (
	// KindModel is a pool of model engines: streamed answers, chats, tokens.
	KindModel ServiceKind = "model"
	// KindPlain is any other HTTP service.
	KindPlain ServiceKind = "plain"
)

// Config is the configuration in force at one site.
type Config struct {
	// Revision is the revision under which the configuration was accepted.
	Revision uint64 `toml:"-"`
	// Teams by name.
	Teams map[string]Team `toml:"teams"`
	// Services by name.
	Services map[string]Service `toml:"services"`
	// Routes in order; the longest matching path wins.
	Routes []Route `toml:"routes"`
	// Sites are the data centres of the fleet by name.
	Sites map[string]Site `toml:"sites"`
	// Promises say which promises apply.
	Promises Promises `toml:"promises"`
	// Limits bound what the fleet spends on the platform.
	Limits Limits `toml:"limits"`
}

// Team is a group of callers that share keys and a weight.
type Team struct {
	// KeyHashes are the SHA-256 sums, in hexadecimal, of the team's bearer keys.
	KeyHashes []string `toml:"key-hashes"`
	// Weight is the team's share in a queue; zero means 1.
	Weight int `toml:"weight"`
}

// Service is a set of replicas that answer the same calls.
type Service struct {
	Kind ServiceKind `toml:"kind"`
	// Models are the model names that the service answers to.
	Models []string `toml:"models"`
	// LoadFactor is c: no replica carries more than c times the mean load,
	// rounded up. Zero means 1.25.
	LoadFactor float64 `toml:"load-factor"`
	// Slots is how many calls a replica runs at once; zero means 8.
	Slots int `toml:"slots"`
	// QueueLength is how many calls wait at a replica at most; zero means 64.
	QueueLength int `toml:"queue-length"`
	// UrgentSlots is how many of the slots only urgency 0 may use; absent means
	// one of eight.
	UrgentSlots *int `toml:"urgent-slots"`
	// FreeCalls is how many calls a replica takes whatever the load factor
	// says; zero means none.
	FreeCalls int `toml:"free-calls"`
	// MaxMeanAge is the age past which the service's mean load sets no bound;
	// zero means 5 seconds.
	MaxMeanAge timekeeper.Span `toml:"oldest-mean"`
	// Ageing is the wait that lifts a call by one urgency; zero means half a second.
	Ageing timekeeper.Span `toml:"ageing"`
	// UnknownHold is how long a slot stays taken after a cancelled call whose
	// end the upstream did not confirm; absent means one second.
	UnknownHold *timekeeper.Span `toml:"unknown-hold"`
	// CacheTokens is the memory of an engine's prefix cache in tokens; zero
	// means unknown.
	CacheTokens int64 `toml:"cache-tokens"`
	// SettleTime is how long after its start a replica sends chats that it
	// doesn't know to where they last ran; absent means ten minutes.
	SettleTime *timekeeper.Span `toml:"settle-time"`
	// CachePath is where engines export and import the prefix of a chat; empty
	// means that they can't.
	CachePath string `toml:"cache-path"`
	// LongestFetch is how long a call waits at most for its prefix to come from
	// another replica; zero means half a second.
	LongestFetch timekeeper.Span `toml:"longest-fetch"`
	// HandOverBytes is how many bytes of prefixes a replica that leaves hands to
	// others at most; zero means 1 GiB.
	HandOverBytes int64 `toml:"hand-over-bytes"`
	// MaxBody is the longest request body in bytes; zero means 1 MiB.
	MaxBody int64 `toml:"max-body"`
	// LongestCall is how long a call may run; zero means ten minutes.
	LongestCall timekeeper.Span `toml:"longest-call"`
	// LongestDrain is how long a stop waits for calls in flight; zero means LongestCall.
	LongestDrain timekeeper.Span `toml:"longest-drain"`
	// FirstByteTimeout is how long a caller waits for the first byte; zero means 30 seconds.
	FirstByteTimeout timekeeper.Span `toml:"first-byte"`
	// ResumeGrace is how long a stream whose caller is gone runs on, so that the
	// caller can resume it; zero means 5 seconds.
	ResumeGrace timekeeper.Span `toml:"resume-grace"`
	// ChatField is the JSON field that names the chat when no header does.
	ChatField string `toml:"chat-field"`
	// CachedHeader is the upstream's header with the prompt tokens found cached.
	CachedHeader string `toml:"cached-header"`
	// ChecksOrders says that the engines refuse an order with an old fencing number.
	ChecksOrders bool `toml:"checks-orders"`
	// Adapters are the adapters that orders may load on the engines.
	Adapters []string `toml:"adapters"`
	// Role is what the engines are ordered to do, such as "prefill"; empty
	// leaves them as they are.
	Role string `toml:"role"`
	// Version is the version of the weights that the engines are ordered to run;
	// empty leaves them as they are.
	Version string `toml:"version"`
	// LongestOrder is how long an engine takes for an order; zero means 30 seconds.
	LongestOrder timekeeper.Span `toml:"longest-order"`
	// LoadsPerMinute is the service's share of the weight store's rate; zero means 6.
	LoadsPerMinute int `toml:"loads-a-minute"`
}

// ReceivesOrders reports whether the service's engines are given orders.
func (service Service) ReceivesOrders() bool {
	return len(service.Adapters) > 0 || service.Role != "" || service.Version != ""
}

// Route leads the calls under a path to a service.
type Route struct {
	// Path is a prefix that ends at a segment's end.
	Path    string `toml:"path"`
	Service string `toml:"service"`
	// Idempotent are the methods that may run twice; empty means GET, HEAD and OPTIONS.
	Idempotent []string `toml:"idempotent-methods"`
	// RequireKey refuses a non-idempotent call without an Idempotency-Key.
	RequireKey bool `toml:"require-key"`
}

// Defaults of a service's settings.
const (
	DefaultLoadFactor  = 1.25
	DefaultSlots       = 8
	DefaultQueueLength = 64
	DefaultMaxBody     = 1 << 20
	DefaultLongestCall = 10 * timekeeper.Minute
	DefaultFirstByteTimeout   = 30 * timekeeper.Second
	DefaultMaxMeanAge  = 5 * timekeeper.Second
	DefaultAgeing      = timekeeper.Second / 2
	DefaultUnknownHold = timekeeper.Second
	DefaultSettleTime  = 10 * timekeeper.Minute

	DefaultLongestFetch  = timekeeper.Second / 2
	DefaultHandOverBytes = 1 << 30
	// slotsPerUrgent is how many slots there are to each one kept for urgent work.
	slotsPerUrgent     = 8
	DefaultResumeGrace = 5 * timekeeper.Second

	DefaultLongestOrder   = 30 * timekeeper.Second
	DefaultLoadsPerMinute = 6
)

// WithRevision returns the configuration under a revision.
func (config Config) WithRevision(revision uint64) Config {
	config.Revision = revision
	return config
}

// WithDefaults returns the service with every zero setting replaced by its default.
func (service Service) WithDefaults() Service {
	service.LoadFactor = cmp.Or(service.LoadFactor, DefaultLoadFactor)
	service.Slots = cmp.Or(service.Slots, DefaultSlots)
	service.QueueLength = cmp.Or(service.QueueLength, DefaultQueueLength)
	service.MaxBody = cmp.Or(service.MaxBody, DefaultMaxBody)
	service.LongestCall = cmp.Or(service.LongestCall, DefaultLongestCall)
	service.LongestDrain = cmp.Or(service.LongestDrain, service.LongestCall)
	service.FirstByteTimeout = cmp.Or(service.FirstByteTimeout, DefaultFirstByteTimeout)
	service.MaxMeanAge = cmp.Or(service.MaxMeanAge, DefaultMaxMeanAge)
	service.Ageing = cmp.Or(service.Ageing, DefaultAgeing)
	service.UrgentSlots = cmp.Or(service.UrgentSlots, new(service.Slots/slotsPerUrgent))
	service.UnknownHold = cmp.Or(service.UnknownHold, new(DefaultUnknownHold))
	service.SettleTime = cmp.Or(service.SettleTime, new(DefaultSettleTime))
	service.LongestFetch = cmp.Or(service.LongestFetch, DefaultLongestFetch)
	service.HandOverBytes = cmp.Or(service.HandOverBytes, DefaultHandOverBytes)
	service.ResumeGrace = cmp.Or(service.ResumeGrace, DefaultResumeGrace)
	service.LongestOrder = cmp.Or(service.LongestOrder, DefaultLongestOrder)
	service.LoadsPerMinute = cmp.Or(service.LoadsPerMinute, DefaultLoadsPerMinute)
	return service
}

// Service returns the named service with defaults filled in.
func (config Config) Service(name string) (Service, bool) {
	service, ok := config.Services[name]
	return service.WithDefaults(), ok
}

// ServiceNames returns the names of all services in order.
func (config Config) ServiceNames() []string {
	return slices.Sorted(maps.Keys(config.Services))
}

// ServiceOfModel returns the name of the service that answers to a model.
func (config Config) ServiceOfModel(model string) (string, bool) {
	for _, name := range config.ServiceNames() {
		if slices.Contains(config.Services[name].Models, model) {
			return name, true
		}
	}
	return "", false
}

// RouteOf returns the route with the longest path that path lies under.
func (config Config) RouteOf(path string) (Route, bool) {
	var best Route
	found := false
	for _, route := range config.Routes {
		if route.covers(path) && len(route.Path) >= len(best.Path) {
			best, found = route, true
		}
	}
	return best, found
}

func (route Route) covers(path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(route.Path, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// IsIdempotent reports whether a call with the method may run twice.
func (route Route) IsIdempotent(method string) bool {
	if len(route.Idempotent) == 0 {
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
	return slices.Contains(route.Idempotent, method)
}
