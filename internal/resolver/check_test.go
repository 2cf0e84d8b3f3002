package resolver

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

const validBase = `# the fleet
[sites.bole]
region = "addis"
[sites.kality]
region = "addis"

[teams.kitchen]
key-hashes = ["` + hashA + `"]

[services.planner]
kind = "model"
models = ["planner"]
slots = 8

[services.orders]
kind = "plain"

[[routes]]
path = "/orders"
service = "orders"
`

func sourcesOf(base string, overlays ...string) Sources {
	sources := Sources{Base: Source{File: "base.toml", Text: []byte(base)}}
	for i := 0; i+1 < len(overlays); i += 2 {
		source := Source{File: overlays[i] + ".toml", Text: []byte(overlays[i+1])}
		sources.Overlays = append(sources.Overlays, Overlay{Site: overlays[i], Source: source})
	}
	return sources
}

func TestCheckReportsEveryFault(t *testing.T) {
	tests := []struct {
		name    string
		sources Sources
		want    []string
	}{
		{"a valid base and overlay", sourcesOf(validBase, "bole", "[services.planner]\nslots = 4\n"), nil},
		{"many faults, each reported at its line", sourcesOf(validBase + `
[teams.vans]
key-hashes = ["` + hashA + `", "xyz"]
wieght = 3
[services.board]
kind = "engine"
slots = "many"
load-factor = 0.5
[services.captions]
kind = "model"
[services.digest]
kind = "model"
models = ["planner"]
first-byte = 30
[[routes]]
path = "/board"
service = "bord"
idempotent-methods = ["get"]
[promises]
apply = ["fast"]
[limits]
poll-every = "20s"
`), []string{
			"base.toml:23: team vans has a key hash that team kitchen has too",
			"base.toml:23: team vans has the key hash \"xyz\"",
			"base.toml:24: unknown key teams.vans.wieght",
			"base.toml:26: service board is of kind \"engine\"",
			"base.toml:27: services.board.slots is \"many\"",
			"base.toml:28: service board has the load factor 0.5",
			"base.toml:29: the model service captions answers to no model",
			"base.toml:33: services planner and digest both answer to model planner",
			"base.toml:34: services.digest.first-byte is 30",
			"base.toml:37: the route /board leads to service \"bord\"",
			"base.toml:38: the route /board has the unknown method \"get\"",
			"base.toml:40: there is no promise \"fast\"",
			"base.toml:42: limits.poll-every is 20s",
		}},
		{"a key in capitals", sourcesOf(validBase + "[teams.x]\nWeight = 2\nkey-hashes = [\"" + hashB + "\"]\n"),
			[]string{"base.toml:22: unknown key teams.x.Weight"}},
		{"a duplicate route", sourcesOf(validBase + "[[routes]]\npath = \"/orders\"\nservice = \"orders\"\n"),
			[]string{"base.toml:21: the route /orders is there twice, first at line 18"}},
		{"a route without a path", sourcesOf(validBase + "[[routes]]\nservice = \"orders\"\n"),
			[]string{"base.toml:21: the route has no path"}},
		{"bad syntax", sourcesOf("[teams.x]\nweight == 2\n"), []string{"base.toml:2:"}},
		{"a duplicate table", sourcesOf("[teams.x]\n[teams.x]\n"), []string{"base.toml:2:"}},
		{"faults in overlays", sourcesOf(validBase, "oslo", "site = \"olso\"\n", "bole", `
[services.planner]
models = ["other"]
[sites.merkato]
region = "addis"
[services.orders]
slots = -1
`, "bole", ""), []string{
			"bole.toml:1: the site bole has an overlay already",
			"bole.toml:3: services.planner.models belongs to service, which the base defines",
			"bole.toml:4: sites.merkato is the same at every site",
			"bole.toml:5: sites.merkato.region is the same at every site",
			"bole.toml:7: slots of service orders is negative",
			"oslo.toml:1: the base has no site \"oslo\"",
			"oslo.toml:1: the overlay of oslo says that its site is olso",
		}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			faults := test.sources.Check()
			lines := strings.Split(faults.Error(), "\n")
			if len(faults) == 0 {
				lines = nil
			}
			So(len(lines), ShouldEqual, len(test.want))
			for i, want := range test.want {
				So(lines[i], ShouldStartWith, want)
				So(faults[i].Remedy, ShouldNotBeEmpty)
			}
		})
	}
}

func TestRenderShowsOrigins(t *testing.T) {
	Convey("a value of an overlay is shown with the overlay's file and line", t, func() {
		sources := sourcesOf(validBase, "bole", "site = \"bole\"\n[services.planner]\nslots = 4\n[teams.vans]\nkey-hashes = [\""+hashB+"\"]\n")
		So(sources.Check(), ShouldBeEmpty)
		bole, faults := sources.Resolve("bole")
		So(faults, ShouldBeEmpty)
		So(bole.Render(), ShouldContainSubstring, "slots = 4  # bole.toml:3\n")
		So(bole.Render(), ShouldContainSubstring, "kind = \"model\"  # base.toml:11\n")
		So(bole.Config.Services["planner"].Slots, ShouldEqual, 4)
		So(bole.Config.Teams["vans"].KeyHashes, ShouldResemble, []string{hashB})
		kality, _ := sources.Resolve("kality")
		So(kality.Config.Services["planner"].Slots, ShouldEqual, 8)
		So(kality.Config.Routes, ShouldHaveLength, 1)
		So(sources.Bundle().Sources().Bundle(), ShouldResemble, sources.Bundle())
	})
}

func TestDiffComparesValues(t *testing.T) {
	before := sourcesOf(validBase, "bole", "[services.planner]\nslots = 4\n").Bundle()
	moved := strings.Replace(validBase, "slots = 8", "# eight\n  slots   = 0x8", 1)
	tests := []struct {
		name  string
		after Bundle
		want  []string
	}{
		{"comments and blank lines are ignored", Bundle{Base: "# other\n\n" + validBase, Overlays: before.Overlays}, nil},
		{"a change of the base and one of a site", sourcesOf(
			strings.Replace(validBase, "/orders", "/order", 1), "bole", "[services.planner]\nslots = 5\n").Bundle(), []string{
			`+ routes."/order" = {}`, `+ routes."/order".path = "/order"`, `+ routes."/order".service = "orders"`,
			`- routes."/orders" = {}`, `- routes."/orders".path = "/orders"`, `- routes."/orders".service = "orders"`,
			`~ bole: services.planner.slots = 4 -> 5`,
		}},
		{"the same number in hexadecimal", Bundle{Base: moved, Overlays: before.Overlays}, nil},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			found, err := Diff(before, test.after)
			So(err, ShouldBeNil)
			var lines []string
			for _, diff := range found {
				lines = append(lines, diff.String())
			}
			So(lines, ShouldHaveLength, len(test.want))
			for _, want := range test.want {
				So(lines, ShouldContain, want)
			}
		})
	}
}

// FuzzCheck checks arbitrary texts of a base and an overlay: Check must not panic,
// every fault must have a remedy, and a configuration without faults must resolve,
// and have the same values after it is rendered and read again.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		validBase, "", "routes = [{path = \"/a\", service = \"b\"}]", "[routes.x]\n", "[[routes]]\n[routes.deep]\n", "routes = 3",
		"[teams.\"a.b\"]\nkey-hashes = []", "teams.x.weight = 1e3", "[services.x]\nkind = '''plain'''\n", "a = \"\\u007f\"", "[[teams]]\n[[teams]]\n",
		"[[services.x]]\n", "[limits]\npoll-every = 1979-05-27\n", "[services.\"\"]\nkind = \"plain\"\nadapters = [[1], {a = 2}]",
	} {
		f.Add(seed, "[services.planner]\nslots = 3\n")
	}
	f.Fuzz(func(t *testing.T, base, overlay string) {
		sources := sourcesOf(base, "bole", overlay)
		faults := sources.Check()
		for _, fault := range faults {
			if fault.Remedy == "" {
				t.Fatalf("no remedy: %s", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		resolved, bad := sources.Resolve("bole")
		if len(bad) > 0 {
			t.Fatalf("checked, but doesn't resolve: %s", bad.Error())
		}
		again := Bundle{Base: resolved.Render()}
		found, err := Diff(Bundle{Base: resolved.Document.text(false)}, again)
		if err != nil || len(found) > 0 {
			t.Fatalf("rendering changed the meaning: %v %v", found, err)
		}
	})
}
