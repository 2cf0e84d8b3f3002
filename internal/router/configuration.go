package router

import (
	"net"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Engine holds the operator's settings for the engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryTokens is how many tokens running requests and cached prompt parts
	// may occupy together.
	MemoryTokens int
	// TokenBytes is the memory of one token in bytes, and LinkMegabits the bandwidth of
	// the link between engines in megabits per second. Zero means that engines don't transfer
	// cached prompt parts to each other.
	TokenBytes, LinkMegabits float64
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name string
	// Connections is how many connections a replica accepts from all entries.
	Connections int
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdTime is how long a replica is cold after its start, and ColdRate how many
	// requests per second it tolerates during that time; zero means no limit.
	ColdTime timekeeper.Span
	ColdRate float64
	// HealthPath is where replicas answer health checks; "" means nowhere.
	HealthPath string
}

// Team is the holder of a key.
type Team struct {
	Name string
	// Urgency takes precedence over that of the route; nil means that the route's
	// applies.
	Urgency *int
}

// Limits bound callers' requests and connections. A value of zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the operator's limit on the time in which a caller sends the
	// head of a request. It is not applied.
	HeaderTimeout timekeeper.Span
	// IdleTimeout bounds the time for which a connection stays idle.
	IdleTimeout timekeeper.Span
}

// Content holds the parts of a Configuration.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// KeyRequired reports whether requests need a key, except on public routes.
	KeyRequired bool
	// Teams maps a key to the team that holds it.
	Teams map[string]Team
}

// Configuration is an accepted configuration with indexes for look-ups.
type Configuration struct {
	content Content
	// hosts holds the routes by host, those with the longest prefix first.
	hosts    map[string][]Route
	services map[string]Service
}

// New returns a configuration with the content, which must not be changed
// afterwards.
func New(content Content) *Configuration {
	config := &Configuration{
		content:  content,
		hosts:    make(map[string][]Route),
		services: make(map[string]Service, len(content.Services)),
	}
	for _, route := range content.Routes {
		host := strings.ToLower(route.Host)
		config.hosts[host] = append(config.hosts[host], route)
	}
	for _, routes := range config.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, service := range content.Services {
		config.services[service.Name] = service
	}
	return config
}

// Version returns the version; later configurations have higher ones.
func (config *Configuration) Version() uint64 { return config.content.Version }

// Limits returns the limits on callers' requests.
func (config *Configuration) Limits() Limits { return config.content.Limits }

// Routes returns the number of routes.
func (config *Configuration) Routes() int { return len(config.content.Routes) }

// Teams returns the number of keys.
func (config *Configuration) Teams() int { return len(config.content.Teams) }

// Services returns the services.
func (config *Configuration) Services() []Service { return config.content.Services }

// Service returns a service by its name.
func (config *Configuration) Service(name string) (Service, bool) {
	service, found := config.services[name]
	return service, found
}

// Route returns the route of a request: among the routes of its host, the one with
// the longest matching path prefix. A port in the host is ignored.
func (config *Configuration) Route(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range config.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Access is the result of checking a key for a route.
type Access struct {
	Allowed bool
	Team    Team
}

// Access checks whether a key gives access to a route, and for which team.
func (config *Configuration) Access(route Route, key string) Access {
	team, found := config.content.Teams[key]
	if found && key != "" {
		return Access{Allowed: true, Team: team}
	}
	return Access{Allowed: route.Public || !config.content.KeyRequired}
}

// Rank is the urgency of a request; the lowest rank is the most urgent.
type Rank int

// ranksPerUrgency is the number of ranks within each urgency of a team, by the urgency
// of the route.
const ranksPerUrgency = 10

// RankFor returns the rank of a team's request. It is ordered by the urgency of the
// team, or of the route if the team has none, and then by that of the route: most
// teams have the same urgency, and without the second criterion long answers of the
// least urgent route would delay requests of the most urgent one.
func (route Route) RankFor(team Team) Rank {
	first := route.Urgency
	if team.Urgency != nil {
		first = *team.Urgency
	}
	return Rank(first*ranksPerUrgency + min(max(route.Urgency, 0), ranksPerUrgency-1))
}

const (
	// enginePriorities is the number of priorities of engines; zero is first.
	enginePriorities = 10
	// prioritiesPerUrgency is the number of engine priorities for each urgency of a team.
	prioritiesPerUrgency = 3
)

// EnginePriority maps the rank to the scale of engines, from 0 to 9.
func (rank Rank) EnginePriority() int {
	first, second := int(rank)/ranksPerUrgency, int(rank)%ranksPerUrgency
	return min(max(first, 0)*prioritiesPerUrgency+min(second, prioritiesPerUrgency-1), enginePriorities-1)
}
