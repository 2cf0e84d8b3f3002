package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTheRouteWithTheLongestPrefixOfTheHostIsChosen(t *testing.T) {
	config := New(Content{Routes: []Route{
		{Name: "all", Host: "kitchen.example", Prefix: "/"},
		{Name: "board", Host: "kitchen.example", Prefix: "/board/"},
		{Name: "vans", Host: "kitchen.example", Prefix: "/board/vans/"},
		{Name: "other", Host: "depot.example", Prefix: "/board/"},
	}})
	tests := []struct{ host, path, want string }{
		{"kitchen.example", "/board/7", "board"},
		{"Kitchen.Example:8080", "/board/vans/7", "vans"},
		{"kitchen.example", "/board", "all"},
		{"depot.example", "/board/vans/7", "other"},
		{"depot.example", "/", ""},
		{"nowhere.example", "/board/", ""},
	}
	for _, test := range tests {
		Convey(test.host+test.path, t, func() {
			route, found := config.Route(test.host, test.path)
			So(found, ShouldEqual, test.want != "")
			So(route.Name, ShouldEqual, test.want)
		})
	}
}

func TestKeysGiveAccessToRoutes(t *testing.T) {
	two := 2
	config := New(Content{KeyRequired: true, Teams: map[string]Team{"k": {Name: "bole", Urgency: &two}}})
	tests := []struct {
		name    string
		config  *Configuration
		route   Route
		key     string
		allowed bool
		team    string
		rank    Rank
	}{
		{"a known key", config, Route{Urgency: 5}, "k", true, "bole", 25},
		{"an unknown key", config, Route{}, "x", false, "", 0},
		{"no key", config, Route{}, "", false, "", 0},
		{"no key on a public route", config, Route{Public: true, Urgency: 5}, "", true, "", 55},
		{"a configuration that requires no keys", New(Content{}), Route{Urgency: 1}, "x", true, "", 11},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			access := test.config.Access(test.route, test.key)
			So(access.Allowed, ShouldEqual, test.allowed)
			So(access.Team.Name, ShouldEqual, test.team)
			So(test.route.RankFor(access.Team), ShouldEqual, test.rank)
		})
	}
}

func TestATrafficSplitFollowsItsWeights(t *testing.T) {
	route := Route{Destinations: []Destination{{"new", 10}, {"old", 90}, {"off", 0}}}
	tests := []struct {
		draw float64
		want string
	}{{0, "new"}, {0.0999, "new"}, {0.1, "old"}, {0.9999, "old"}}
	for _, test := range tests {
		Convey(test.want, t, func() { So(route.Service(test.draw), ShouldEqual, test.want) })
	}
	Convey("no destination", t, func() { So(Route{}.Service(0.5), ShouldEqual, "") })
}

func TestRanksAreMappedToEnginePriorities(t *testing.T) {
	zero, one, nine := 0, 1, 9
	tests := []struct {
		name  string
		team  *int
		route int
		want  int
	}{
		{"the most urgent team and route", &zero, 0, 0},
		{"the most urgent team, a less urgent route", &zero, 2, 2},
		{"a route's urgency beyond the scale", &zero, 7, 2},
		{"the next urgency of teams follows all routes of the first", &one, 0, 3},
		{"the least urgent team and route", &nine, 9, 9},
		{"a team without an urgency", nil, 1, 4},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			rank := Route{Urgency: test.route}.RankFor(Team{Urgency: test.team})
			So(rank.EnginePriority(), ShouldEqual, test.want)
		})
	}
}
