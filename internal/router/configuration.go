package router

import (
	"net"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Engine is what the operator says about the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is how many tokens running requests and cached prompt parts
	// may hold together.
	MemoryTokens int
	// TokenBytes is the memory of one token, in bytes, and LinkMegabits what the
	// link between engines carries in a second. Zero means that engines don't hand
	// on what they have cached.
	TokenBytes, LinkMegabits float64
}

// Service is a set of equal replicas.
type Service struct {
	Name string
	// Connections is how many connections a replica accepts from all entries.
	Connections int
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdTime is for how long a replica is cold after its start, ColdRate how many
	// requests a second it tolerates meanwhile; zero means any number.
	ColdTime timekeeper.Span
	ColdRate float64
}

// Team is who holds a key.
type Team struct {
	Name string
	// Urgency goes before the route's; nil means that the route's counts.
	Urgency *int
}

// Limits bound what a caller may send. A value of zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTimeout  timekeeper.Span
	IdleTimeout    timekeeper.Span
}

// Content is what a Configuration is made of.
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

// Configuration is an accepted configuration, ready for look-ups.
type Configuration struct {
	content  Content
	hosts    map[string][]Route
	services map[string]Service
}

// New returns the configuration with the content. The content must not be
// changed afterwards.
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

// Limits returns what bounds a caller's request.
func (config *Configuration) Limits() Limits { return config.content.Limits }

// Routes returns how many routes there are.
func (config *Configuration) Routes() int { return len(config.content.Routes) }

// Teams returns how many keys there are.
func (config *Configuration) Teams() int { return len(config.content.Teams) }

// Services returns the services.
func (config *Configuration) Services() []Service { return config.content.Services }

// Service returns a service by its name.
func (config *Configuration) Service(name string) (Service, bool) {
	service, found := config.services[name]
	return service, found
}

// Route returns the route of a request: of those of its host, the one with the
// longest prefix of the path. A port after the host doesn't count.
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

// Access is the outcome of a check of a key.
type Access struct {
	Allowed bool
	Team    Team
}

// Access decides whether a key opens a route, and for which team.
func (config *Configuration) Access(route Route, key string) Access {
	team, known := config.content.Teams[key]
	if known && key != "" {
		return Access{Allowed: true, Team: team}
	}
	return Access{Allowed: route.Public || !config.content.KeyRequired}
}

// Rank orders requests: the lowest is the most urgent.
type Rank int

// routeRanks is how many ranks the urgency of routes takes within one urgency of
// teams.
const routeRanks = 10

// RankFor returns the rank of a team's request: by the urgency of the team, or of
// the route where the team has none, and among those by that of the route. Most
// teams have the same urgency, and without the second part long answers of the
// least urgent route would stand before the most urgent one.
func (route Route) RankFor(team Team) Rank {
	first := route.Urgency
	if team.Urgency != nil {
		first = *team.Urgency
	}
	return Rank(first*routeRanks + min(max(route.Urgency, 0), routeRanks-1))
}

const (
	// enginePriorities is how many priorities engines know; zero is first.
	enginePriorities = 10
	// engineStep is how many of them each urgency of teams takes.
	engineStep = 3
)

// EnginePriority returns the rank as engines know it, from 0 to 9.
func (rank Rank) EnginePriority() int {
	first, second := int(rank)/routeRanks, int(rank)%routeRanks
	return min(max(first, 0)*engineStep+min(second, engineStep-1), enginePriorities-1)
}
