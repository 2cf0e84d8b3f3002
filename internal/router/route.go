package router

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Kind is a kind of route. It determines which requests may be retried.
type Kind uint8

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota + 1
	// Once requests run at most once.
	Once
	// Stream requests are answered with a stream of events and run at most once,
	// unless the route is resumable.
	Stream
)

// String returns the kind's name in logs and metrics.
func (kind Kind) String() string {
	switch kind {
	case Safe:
		return "safe"
	case Once:
		return "once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Destination is one of the services among which a route splits its requests.
type Destination struct {
	Service string
	// Weight is the service's share of the route's requests, relative to the
	// other destinations.
	Weight int
}

// Route holds the operator's settings for a path prefix of a host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout timekeeper.Span
	// Target is the target latency of the whole answer, or of the first event of a
	// stream.
	Target timekeeper.Span
	// GapTarget is the target for the longest pause between events of a stream.
	GapTarget timekeeper.Span
	// Urgency orders requests; zero is the most urgent.
	Urgency int
	// MaxReplicas limits the replicas that may run one request of a caller.
	MaxReplicas  int
	Destinations []Destination
	// Public routes need no key.
	Public bool
	// Resumable streams may be resumed at another replica.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (route Route) Idempotent() bool {
	return route.Kind == Safe || (route.Kind == Stream && route.Resumable)
}

// Services returns the services that requests of the route may go to.
func (route Route) Services() []string {
	var services []string
	for _, destination := range route.Destinations {
		if destination.Weight > 0 {
			services = append(services, destination.Service)
		}
	}
	return services
}

// Service chooses a destination by its weight for a random draw from [0, 1), and returns its
// service; "" when there is none.
func (route Route) Service(draw float64) string {
	total := 0
	for _, destination := range route.Destinations {
		total += destination.Weight
	}
	if total <= 0 {
		return ""
	}
	left := int(draw * float64(total))
	for _, destination := range route.Destinations {
		left -= destination.Weight
		if left < 0 {
			return destination.Service
		}
	}
	return route.Destinations[len(route.Destinations)-1].Service
}
