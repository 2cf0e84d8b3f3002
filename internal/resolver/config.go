package resolver

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ServiceKind selects how the calls of a service are handled.
type ServiceKind string

// The kinds of service.
const (
	// KindModel is a pool of model engines, with streamed answers, chats and tokens.
	KindModel ServiceKind = "model"
	// KindPlain is any other HTTP service.
	KindPlain ServiceKind = "plain"
)

// Config is the configuration in force at one site.
type Config struct {
	// Revision is the number under which the configuration was accepted.
	Revision uint64 `toml:"-"`
	// Teams holds the teams by name.
	Teams map[string]Team `toml:"teams"`
	// Services holds the services by name.
	Services map[string]Service `toml:"services"`
	// Routes are in the order of the file; the longest matching path wins.
	Routes []Route `toml:"routes"`
	// Sites are the data centres of the fleet by name.
	Sites map[string]Site `toml:"sites"`
	// Promises selects the promises that apply.
	Promises Promises `toml:"promises"`
	// Limits bound the load that each process puts on the platform's store.
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
	// Models are the names of the models that the service serves.
	Models []string `toml:"models"`
	// LoadFactor bounds a replica's load to this multiple of the mean load,
	// rounded up. Zero means 1.25.
	LoadFactor float64 `toml:"load-factor"`
	// Slots is how many calls run on a replica at once; zero means 8.
	Slots int `toml:"slots"`
	// QueueLength is the maximum number of calls that wait at a replica; zero means 64.
	QueueLength int `toml:"queue-length"`
	// UrgentSlots is how many of the slots are reserved for calls of urgency 0;
	// absent means one of eight.
	UrgentSlots *int `toml:"urgent-slots"`
	// FreeCalls is how many calls a replica accepts regardless of LoadFactor;
	// zero means none.
	FreeCalls int `toml:"free-calls"`
	// MaxMeanAge is the age above which the service's mean load is ignored and
	// sets no bound; zero means 5 seconds.
	MaxMeanAge timekeeper.Span `toml:"oldest-mean"`
	// Ageing is the wait that raises a call by one urgency; zero means half a second.
	Ageing timekeeper.Span `toml:"ageing"`
	// UnknownHold is how long a slot of a model service stays occupied after its call
	// is cancelled, since the engine doesn't confirm that it has stopped; absent means
	// one second.
	UnknownHold *timekeeper.Span `toml:"unknown-hold"`
	// CacheTokens is the size of an engine's prefix cache in tokens; zero means unknown.
	CacheTokens int64 `toml:"cache-tokens"`
	// RecentStartPeriod is how long after its start a replica redirects a chat that it
	// doesn't know to the chat's former home, or fetches the prefix from there; absent
	// means ten minutes.
	RecentStartPeriod *timekeeper.Span `toml:"settle-time"`
	// CachePath is the engines' URL path for export and import of a chat's prefix;
	// empty means that they don't support it.
	CachePath string `toml:"cache-path"`
	// FetchTimeout is the timeout for fetching a call's prefix from another
	// replica; zero means half a second.
	FetchTimeout timekeeper.Span `toml:"longest-fetch"`
	// MaxHandOverBytes is the maximum size of the prefixes that a leaving replica
	// hands over to other replicas; zero means 1 GiB.
	MaxHandOverBytes int64 `toml:"hand-over-bytes"`
	// MaxBody is the maximum size of a request body in bytes; zero means 1 MiB.
	MaxBody int64 `toml:"max-body"`
	// CallTimeout is the timeout of a call; zero means ten minutes.
	CallTimeout timekeeper.Span `toml:"longest-call"`
	// DrainTimeout is how long a stopping agent waits for calls in flight; zero means
	// CallTimeout.
	DrainTimeout timekeeper.Span `toml:"longest-drain"`
	// FirstByteTimeout is how long a caller waits for the first byte of the answer;
	// zero means 30 seconds.
	FirstByteTimeout timekeeper.Span `toml:"first-byte"`
	// ResumeGrace is how long a stream continues after its caller disconnects, so
	// that the caller can resume it; zero means 5 seconds.
	ResumeGrace timekeeper.Span `toml:"resume-grace"`
	// ChatField is the JSON field of a request that names the chat if no header does.
	ChatField string `toml:"chat-field"`
	// CachedHeader is the upstream's response header with the number of prompt
	// tokens found in its cache.
	CachedHeader string `toml:"cached-header"`
	// ChecksOrders is true if the engines refuse orders with an outdated fencing number.
	ChecksOrders bool `toml:"checks-orders"`
	// Adapters are the adapters that orders may load onto the engines.
	Adapters []string `toml:"adapters"`
	// Role is the role that orders assign to the engines, such as "prefill"; empty
	// leaves their roles unchanged.
	Role string `toml:"role"`
	// Version is the version of the weights that orders assign to the engines;
	// empty leaves their versions unchanged.
	Version string `toml:"version"`
	// OrderTimeout is the timeout of an order at an engine; zero means 30 seconds.
	OrderTimeout timekeeper.Span `toml:"longest-order"`
	// LoadsPerMinute is the service's share of the weight store's total rate of
	// loads; zero means 6.
	LoadsPerMinute int `toml:"loads-a-minute"`
}

// ReceivesOrders reports whether a planner sends orders to the service's engines.
func (service Service) ReceivesOrders() bool {
	return len(service.Adapters) > 0 || service.Role != "" || service.Version != ""
}

// Route maps the calls under a path to a service.
type Route struct {
	// Path is a path prefix; it matches whole segments only.
	Path    string `toml:"path"`
	Service string `toml:"service"`
	// Idempotent lists the methods whose calls may run twice; empty means GET, HEAD
	// and OPTIONS.
	Idempotent []string `toml:"idempotent-methods"`
	// RequireKey makes entries refuse a non-idempotent call without an Idempotency-Key.
	RequireKey bool `toml:"require-key"`
}

// Defaults of a service's settings.
const (
	DefaultLoadFactor        = 1.25
	DefaultSlots             = 8
	DefaultQueueLength       = 64
	DefaultMaxBody           = 1 << 20
	DefaultCallTimeout       = 10 * timekeeper.Minute
	DefaultFirstByteTimeout  = 30 * timekeeper.Second
	DefaultMaxMeanAge        = 5 * timekeeper.Second
	DefaultAgeing            = timekeeper.Second / 2
	DefaultUnknownHold       = timekeeper.Second
	DefaultRecentStartPeriod = 10 * timekeeper.Minute

	DefaultFetchTimeout     = timekeeper.Second / 2
	DefaultMaxHandOverBytes = 1 << 30
	// slotsPerUrgentSlot is the number of slots of which one is reserved for urgent calls.
	slotsPerUrgentSlot = 8
	DefaultResumeGrace = 5 * timekeeper.Second

	DefaultOrderTimeout   = 30 * timekeeper.Second
	DefaultLoadsPerMinute = 6
)

// WithRevision returns the configuration with its revision set.
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
	service.CallTimeout = cmp.Or(service.CallTimeout, DefaultCallTimeout)
	service.DrainTimeout = cmp.Or(service.DrainTimeout, service.CallTimeout)
	service.FirstByteTimeout = cmp.Or(service.FirstByteTimeout, DefaultFirstByteTimeout)
	service.MaxMeanAge = cmp.Or(service.MaxMeanAge, DefaultMaxMeanAge)
	service.Ageing = cmp.Or(service.Ageing, DefaultAgeing)
	service.UrgentSlots = cmp.Or(service.UrgentSlots, new(service.Slots/slotsPerUrgentSlot))
	service.UnknownHold = cmp.Or(service.UnknownHold, new(DefaultUnknownHold))
	service.RecentStartPeriod = cmp.Or(service.RecentStartPeriod, new(DefaultRecentStartPeriod))
	service.FetchTimeout = cmp.Or(service.FetchTimeout, DefaultFetchTimeout)
	service.MaxHandOverBytes = cmp.Or(service.MaxHandOverBytes, DefaultMaxHandOverBytes)
	service.ResumeGrace = cmp.Or(service.ResumeGrace, DefaultResumeGrace)
	service.OrderTimeout = cmp.Or(service.OrderTimeout, DefaultOrderTimeout)
	service.LoadsPerMinute = cmp.Or(service.LoadsPerMinute, DefaultLoadsPerMinute)
	return service
}

// Service returns the named service with its defaults filled in.
func (config Config) Service(name string) (Service, bool) {
	service, ok := config.Services[name]
	return service.WithDefaults(), ok
}

// ServiceNames returns the names of all services, sorted.
func (config Config) ServiceNames() []string {
	return slices.Sorted(maps.Keys(config.Services))
}

// ServiceOfModel returns the name of the service that serves a model.
func (config Config) ServiceOfModel(model string) (string, bool) {
	for _, name := range config.ServiceNames() {
		if slices.Contains(config.Services[name].Models, model) {
			return name, true
		}
	}
	return "", false
}

// RouteOf returns the route with the longest path that matches path.
func (config Config) RouteOf(path string) (Route, bool) {
	var best Route
	found := false
	for _, route := range config.Routes {
		if route.matches(path) && len(route.Path) >= len(best.Path) {
			best, found = route, true
		}
	}
	return best, found
}

func (route Route) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(route.Path, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// IsIdempotent reports whether a call with the method may run twice on the route.
func (route Route) IsIdempotent(method string) bool {
	if len(route.Idempotent) == 0 {
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
	return slices.Contains(route.Idempotent, method)
}
