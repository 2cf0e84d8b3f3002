package verifier

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
)

// longEvents returns one incarnation with many similar records.
func longEvents(count int) processEvents {
	events := []recorder.Event{{At: 1, Kind: recorder.Started}}
	for i := range count {
		events = append(events, recorder.Event{At: 2, Kind: recorder.Granted, Request: "r" + strconv.Itoa(i), Load: int64(i)})
	}
	return processEvents{firstReplica: append(events, recorder.Event{At: 3, Kind: recorder.Stopped})}
}

// tamperings change the objects in one way each; at is the index of a segment, pick
// any number.
var tamperings = map[string]func(objects []Object, at, pick int) []Object{
	"a byte flipped": func(objects []Object, at, pick int) []Object {
		body := slices.Clone(objects[at].Body)
		body[pick%len(body)] ^= byte(1 + pick%255)
		objects[at].Body = body
		return objects
	},
	"cut short": func(objects []Object, at, pick int) []Object {
		objects[at].Body = objects[at].Body[:pick%len(objects[at].Body)]
		return objects
	},
	"a segment dropped": func(objects []Object, at, _ int) []Object {
		return slices.Delete(objects, at, at+1)
	},
	"two segments exchanged": func(objects []Object, at, pick int) []Object {
		other := (at + 1 + pick%(len(objects)-1)) % len(objects)
		objects[at].Body, objects[other].Body = objects[other].Body, objects[at].Body
		return objects
	},
	"a segment stored again under another name": func(objects []Object, at, pick int) []Object {
		return append(objects, Object{firstReplica.ObjectName(uint64(1000 + pick)), objects[at].Body})
	},
	"a segment twice": func(objects []Object, at, _ int) []Object {
		return append(objects, objects[at])
	},
	"a record changed and its own segment sealed again": func(_ []Object, at, _ int) []Object {
		const length = 5
		processes, forged := longEvents(30), longEvents(30)
		forged[firstReplica][at*length].Load++
		objects, other := sortedObjects(processes, length), sortedObjects(forged, length)
		objects[at].Body = other[at].Body
		return objects
	},
}

func sortedObjects(processes processEvents, length int) []Object {
	objects := processes.objects(length)
	slices.SortFunc(objects, func(a, b Object) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return objects
}

func TestAnySingleTamperingIsFound(t *testing.T) {
	// One thing in the stored record is changed. Verify must report an object and a
	// reason, or the open tail when the end is missing; it never reports a whole
	// chain, since each hash covers all earlier records.
	rapid.Check(t, func(t *rapid.T) {
		names := slices.Sorted(maps.Keys(tamperings))
		name := rapid.SampledFrom(names).Draw(t, "tampering")
		objects := sortedObjects(longEvents(30), 5)
		at := rapid.IntRange(0, len(objects)-2).Draw(t, "segment")
		pick := rapid.IntRange(0, 1<<20).Draw(t, "pick")
		trail := Verify(tamperings[name](objects, at, pick))
		if len(trail.Findings) == 0 {
			t.Fatalf("%s in segment %d was not found", name, at)
		}
	})
	Convey("a missing end is an open tail", t, func() {
		objects := sortedObjects(longEvents(30), 5)
		trail := Verify(objects[:len(objects)-1])
		So(trail.Findings, ShouldBeEmpty)
		So(trail.Gaps(), ShouldHaveLength, 1)
		So(trail.Gaps()[0].Open, ShouldBeTrue)
	})
	Convey("an unchanged record has neither finding nor gap", t, func() {
		trail := Verify(sortedObjects(longEvents(30), 5))
		So(trail.Findings, ShouldBeEmpty)
		So(trail.Gaps(), ShouldBeEmpty)
		So(trail.Records, ShouldEqual, 32)
	})
}

func TestDroppedSegmentsAreAlwaysDeclared(t *testing.T) {
	// The store is down at random; segments wait, and past the limit the backlog
	// drops the oldest. The chain that reaches the store must declare every loss,
	// also that of an earlier declaration: no finding, and each missing record in
	// a gap.
	rapid.Check(t, func(t *rapid.T) {
		chain := recorder.NewChain(firstReplica)
		backlog := recorder.NewBacklog(1500)
		var objects []Object
		chain.Add(recorder.Event{Kind: recorder.Started})
		push := func() {
			segment, ok := chain.Seal()
			if !ok {
				return
			}
			for _, gap := range backlog.Push(segment) {
				chain.Add(gap)
			}
		}
		deliver := func() {
			if segment, ok := backlog.Oldest(); ok {
				objects = append(objects, Object{segment.Name(), segment.Body})
				backlog.MarkStored(segment.First)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				deliver()
				continue
			}
			chain.Add(recorder.Event{Kind: recorder.Granted, Request: rapid.StringN(1, 9, 40).Draw(t, "request")})
			push()
		}
		for backlog.Bytes() > 0 {
			deliver()
		}
		chain.Add(recorder.Event{Kind: recorder.Stopped})
		push()
		deliver()
		if trail := Verify(objects); len(trail.Findings) > 0 {
			t.Fatalf("%v", trail.Findings)
		}
	})
}

func FuzzVerify(f *testing.F) {
	for _, object := range sortedObjects(longEvents(8), 5) {
		f.Add(object.Body)
	}
	f.Add([]byte("trefoilseam-record 1\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		// For any body, Verify neither panics nor allocates without bound, and
		// accepts only what a recorder wrote.
		trail := Verify([]Object{{firstReplica.ObjectName(1), body}})
		if trail.Records == 0 && len(trail.Findings) == 0 {
			t.Fatal("nothing was read and nothing was found")
		}
	})
}
