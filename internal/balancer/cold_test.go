package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// warming is how the engines of the tests here warm up, and what the operators allow.
var (
	warmUp       = WarmUp{Span: 3 * timekeeper.Second, Rate: 12}
	coldSettings = Settings{Seed: 1, ColdRateFactor: 1.5, ColdSlack: 5}
)

// allowedCold is how many requests a cold engine may get in a second by these.
const maxColdPerSecond = 12*1.5 + 5

// warmAt returns listings that say they are cold until an instant.
func withWarmAt(list []Replica, until timekeeper.Instant) []Replica {
	for i := range list {
		list[i].WarmAt = until
	}
	return list
}

// coldSite is entries before engines of which some are cold. Every request that an entry
// sends is noted.
type coldSite struct {
	entries []*Fleet
	names   []string
	warm    []Replica
	cold    []Replica
	// sent are the instants of requests to each cold engine.
	sent   map[string][]timekeeper.Instant
	random *rand.Rand
}

// newColdSite returns a site whose entries all know each other.
func newColdSite(entries, warm, cold int, until timekeeper.Instant) *coldSite {
	list := replicasOf("planner", warm+cold, 64)
	site := &coldSite{
		warm: list[:warm], cold: withWarmAt(list[warm:], until), sent: map[string][]timekeeper.Instant{},
		random: rand.New(rand.NewPCG(5, 7)),
	}
	for range entries {
		site.addEntry()
	}
	site.introduce()
	return site
}

// join adds an entry that knows the engines and nothing of the others.
func (site *coldSite) addEntry() *Fleet {
	settings := coldSettings
	settings.Seed = uint64(len(site.entries))
	fleet := New(settings)
	fleet.SetEngine("planner", Engine{Memory: 300000})
	fleet.SetWarmUp("planner", warmUp)
	fleet.SetReplicas(slices.Concat(site.warm, site.cold), 1)
	site.entries = append(site.entries, fleet)
	site.names = append(site.names, fmt.Sprintf("10.0.0.%d:7000", len(site.names)))
	return fleet
}

// introduce tells some entries of one another; without any, all of all.
func (site *coldSite) introduce(group ...int) {
	if len(group) == 0 {
		for number := range site.entries {
			group = append(group, number)
		}
	}
	for _, number := range group {
		var others []string
		for _, other := range group {
			if other != number {
				others = append(others, site.names[other])
			}
		}
		site.entries[number].SetEntries(site.names[number], others)
	}
}

// play lets each entry ask as often as it can for a span, with requests that end at once.
func (site *coldSite) run(from timekeeper.Instant, span timekeeper.Span) {
	for now := from; now < from.Add(span); now = now.Add(10) {
		for _, number := range site.random.Perm(len(site.entries)) {
			site.send(site.entries[number], now)
		}
	}
}

func (site *coldSite) send(entry *Fleet, now timekeeper.Instant) *Placement {
	subject := site.random.Uint64N(200)
	placement, _ := entry.Choose(promptRequest(subject, site.random.Uint64()), now)
	if placement == nil {
		return nil
	}
	if placement.Replica.WarmAt != 0 {
		site.sent[placement.Replica.ID] = append(site.sent[placement.Replica.ID], now)
	}
	entry.AnswerStarted(placement, now)
	entry.End(placement, Served, now)
	return placement
}

// most returns the most requests that a cold engine got in any second.
func (site *coldSite) maxPerSecond() (maxPerSecond int) {
	for _, sent := range site.sent {
		first := 0
		for last := range sent {
			for sent[last].Since(sent[first]) >= timekeeper.Second {
				first++
			}
			maxPerSecond = max(maxPerSecond, last-first+1)
		}
	}
	return maxPerSecond
}

func TestColdEnginesGetAtMostTheToleratedRate(t *testing.T) {
	// Guards against a cold engine that crashes, with all its streams, because every entry
	// sends it a little: no engine is warm, and callers press.
	for _, size := range []struct{ entries, engines int }{{1, 3}, {4, 9}, {28, 50}, {103, 60}, {380, 40}} {
		Convey(fmt.Sprintf("%d entries", size.entries), t, func() {
			site := newColdSite(size.entries, 0, size.engines, start.Add(4*timekeeper.Second))
			site.run(start, 3*timekeeper.Second)
			So(site.maxPerSecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
			total := 0
			for _, sent := range site.sent {
				total += len(sent)
			}
			// What the engines tolerate is used, but for what is lost while allowances fill.
			So(float64(total)/3/float64(size.engines), ShouldBeGreaterThan, 0.8*warmUp.Rate)
		})
	}
}

func TestBurstAfterAPause(t *testing.T) {
	// Guards against entries whose allowances have all filled up while nobody asked.
	for _, entries := range []int{28, 103, 380} {
		Convey(fmt.Sprintf("%d entries", entries), t, func() {
			site := newColdSite(entries, 0, 20, start.Add(timekeeper.Minute))
			site.run(start, 200)
			site.run(start.Add(20*timekeeper.Second), 2*timekeeper.Second)
			So(site.maxPerSecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
		})
	}
}

func TestEntriesThatDisagreeAboutPeersWhileEnginesAreCold(t *testing.T) {
	// Guards against entries that each take themselves for one of few, because they have
	// just started or are cut off from the others but not from the engines.
	until := start.Add(10 * timekeeper.Second)
	Convey("entries that know nobody yet send nothing", t, func() {
		site := newColdSite(10, 0, 5, until)
		for range 18 {
			site.addEntry()
		}
		site.run(start, timekeeper.Second)
		So(site.maxPerSecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
	})
	Convey("entries are added, and known to the others one after the other", t, func() {
		site := newColdSite(24, 0, 5, until)
		for now := start; now < start.Add(4*timekeeper.Second); now = now.Add(timekeeper.Second) {
			site.addEntry()
			site.run(now, 500)
			site.introduce()
			site.run(now.Add(500), 500)
		}
		So(site.maxPerSecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
	})
	Convey("a third dies and is still counted, then is forgotten", t, func() {
		site := newColdSite(28, 0, 5, until)
		site.run(start, timekeeper.Second)
		site.entries, site.names = site.entries[:19], site.names[:19]
		site.run(start.Add(timekeeper.Second), timekeeper.Second)
		site.introduce()
		site.run(start.Add(2*timekeeper.Second), 2*timekeeper.Second)
		So(site.maxPerSecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
	})
}

func TestNewEnginesWhileOthersHaveRoom(t *testing.T) {
	// Guards against new engines that are idle, empty and crashed by the first requests of
	// all entries, while the others have room.
	site := newColdSite(28, 35, 15, start.Add(3*timekeeper.Second))
	site.run(start, 2*timekeeper.Second)
	Convey("they get nothing as long as the others have room", t, func() { So(site.maxPerSecond(), ShouldEqual, 0) })
	Convey("they get work when they are warm", t, func() {
		site.run(start.Add(3*timekeeper.Second), timekeeper.Second)
		So(site.sent, ShouldHaveLength, 15)
	})
}

func TestColdEnginesServeWhenTheOthersAreFull(t *testing.T) {
	// Guards against callers who are refused while cold engines idle: the warm ones are
	// full.
	site := newColdSite(1, 2, 4, start.Add(10*timekeeper.Second))
	entry := site.entries[0]
	for entry.placeOne("planner", start) {
		continue
	}
	now := start.Add(500)
	placed := 0
	for ; now < start.Add(2500); now = now.Add(5) {
		if site.send(entry, now) != nil {
			placed++
		}
	}
	Convey("up to their rate", t, func() {
		So(placed, ShouldBeGreaterThan, 0)
		So(site.maxPerSecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond)
	})
}

func TestEndOfAnEvacuationUnderHotPrompts(t *testing.T) {
	// Guards against engines that are taken back cold, before their rows say so, and get
	// all requests for the new prompts that prefer them in their first second.
	const count = 20
	entries := make([]*Fleet, 28)
	for number := range entries {
		settings := coldSettings
		settings.Seed = uint64(number)
		entries[number] = New(settings)
		entries[number].SetEngine("planner", Engine{Memory: 300000})
		entries[number].SetWarmUp("planner", warmUp)
		entries[number].SetReplicas(replicasInCentres("planner", count, 64), 1)
		entries[number].Evacuate(NewEvacuations(3, []string{"kality"}), start)
	}
	site := &coldSite{entries: entries, sent: map[string][]timekeeper.Instant{}}
	for number := range entries {
		site.names = append(site.names, fmt.Sprint("entry-", number))
	}
	site.introduce()
	sent := map[string][]timekeeper.Instant{}
	back := start.Add(5 * timekeeper.Second)
	for now := start; now < back.Add(2500); now = now.Add(10) {
		for number, entry := range entries {
			if now == back.Add(timekeeper.Span(30*number)) {
				entry.Evacuate(NewEvacuations(4, nil), now)
			}
			// All entries ask for one prompt after the other that no engine has.
			placement, _ := entry.Choose(promptRequest(uint64(now), uint64(now)), now)
			if placement == nil {
				continue
			}
			entry.AnswerStarted(placement, now)
			entry.End(placement, Served, now)
			if placement.Replica.DataCentre == "kality" {
				sent[placement.Replica.ID] = append(sent[placement.Replica.ID], now)
			}
		}
	}
	site.sent = sent
	Convey("they get no more than a cold engine may", t, func() { So(site.maxPerSecond(), ShouldBeLessThanOrEqualTo, maxColdPerSecond) })
}

func TestReplicaTurnsColdWithoutARestart(t *testing.T) {
	// Guards against a replica that turns cold without a start, and is not treated so, and
	// against one that counts as cold for good.
	fleet := New(coldSettings)
	fleet.SetWarmUp("planner", warmUp)
	list := replicasOf("planner", 1, 64)
	fleet.SetReplicas(list, 1)
	eligible := func(now timekeeper.Instant) Eligibility { return fleet.eligibility(fleet.replicas["planner-0"], now) }
	Convey("from its row until the time that it says", t, func() {
		So(eligible(start).Access, ShouldEqual, Open)
		fleet.SetReplicas(withWarmAt(replicasOf("planner", 1, 64), start.Add(2000)), 2)
		So(eligible(start.Add(1999)), ShouldResemble, Eligibility{Access: Limited, Cause: Cold, Until: start.Add(2000)})
		So(eligible(start.Add(2000)).Access, ShouldEqual, Open)
	})
	Convey("a later heartbeat that says longer counts, an older one that says less does not", t, func() {
		So(fleet.SetReplicas(withWarmAt(replicasOf("planner", 1, 64), start.Add(2600)), 3), ShouldBeEmpty)
		So(eligible(start.Add(2599)).Access, ShouldEqual, Limited)
		fleet.SetReplicas(withWarmAt(replicasOf("planner", 1, 64), start.Add(2300)), 4)
		So(eligible(start.Add(2599)).Access, ShouldEqual, Limited)
	})
	Convey("cold again, before a row said that it was warm, is news for peers", t, func() {
		changes := fleet.SetReplicas(withWarmAt(replicasOf("planner", 1, 64), start.Add(5000)), 5)
		So(changes, ShouldHaveLength, 1)
		So(changes[0].TurnedCold, ShouldBeTrue)
		fleet.MarkCold(list[0].Key(), start.Add(7000))
		So(eligible(start.Add(6999)).Access, ShouldEqual, Limited)
		fleet.MarkCold(list[0].Key(), start.Add(6000))
		So(eligible(start.Add(6999)).Access, ShouldEqual, Limited)
	})
	Convey("a service that tolerates any rate has no cold replicas", t, func() {
		fleet.SetWarmUp("planner", WarmUp{})
		So(eligible(start).Access, ShouldEqual, Open)
	})
}

func TestColdShare(t *testing.T) {
	tests := []struct {
		name            string
		settings        Settings
		entries, users  int
		fromRate, under float64
	}{
		{"many entries", coldSettings, 28, 7, 1.5, 1.8},
		{"few entries", coldSettings, 3, 3, 3.9, 4.1},
		{"no more than the rate is allowed", Settings{ColdRateFactor: 1}, 28, 1, 10.9, 11.1},
		{"less than a request is left", Settings{ColdRateFactor: 1, ColdSlack: 0.5}, 1, 1, 11.4, 11.6},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			share := test.settings.coldShareFor(warmUp, test.entries)
			So(share.users, ShouldEqual, test.users)
			So(share.rate, ShouldBeBetween, test.fromRate, test.under)
		})
	}
}
