package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/resumer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

func TestSoftwareVersionsOutliveAllEntries(t *testing.T) {
	// Guards against refused resumptions after all entries were killed, and against versions that a
	// return of the store has outdated or lost.
	store := emulator.NewStore(timekeeper.Steady())
	row := emulator.Row{Service: "planner", Address: "127.0.0.1:7400", DataCentre: "bole", State: "ready", Slots: 8}
	store.Put("servers", "planner-1", row.Encode())
	direct, release := directWithStore(t, store)
	defer release()
	direct.versions.history = resumer.NewHistory(true)
	write := func() (count int) {
		direct.replicas.Step(t.Context())
		direct.versions.confirm()
		for _, seen := range direct.versions.unwritten() {
			direct.versions.write(t.Context(), seen)
			count++
		}
		return count
	}
	successor := func() resumer.Versions {
		next, release := directWithStore(t, store)
		defer release()
		next.replicas.Step(t.Context())
		_, err := next.peers.tryRegister(t.Context())
		So(err, ShouldBeNil)
		return next.versions.of("planner")
	}
	known := resumer.Versions{Only: "v1", For: resumer.HistorySpan}
	Convey("written once, and read by an entry that starts", t, func() {
		So(successor().For, ShouldBeLessThan, timekeeper.Minute)
		So(write(), ShouldEqual, 1)
		So(write(), ShouldEqual, 0)
		So(successor(), ShouldResemble, known)
	})
	Convey("not read after a return of the store, until they are written again", t, func() {
		store.Restore(0)
		So(successor().For, ShouldBeLessThan, timekeeper.Minute)
		So(write(), ShouldEqual, 1)
		So(successor(), ShouldResemble, known)
	})
	Convey("a second version is written", t, func() {
		row.SoftwareVersion = "v1.1"
		store.Put("servers", "planner-2", row.Encode())
		So(write(), ShouldEqual, 1)
		store.Remove("servers", "planner-2")
		So(successor().For, ShouldBeLessThan, timekeeper.Minute)
	})
}

func TestAProcessThatStoodStillKnowsNoVersion(t *testing.T) {
	// Guards against streams that go on by a list which seems fresh, as the clock didn't count the time
	// for which the machine was suspended.
	store := emulator.NewStore(timekeeper.Steady())
	row := emulator.Row{Service: "planner", Address: "127.0.0.1:7400", DataCentre: "bole", State: "ready", Slots: 8}
	store.Put("servers", "planner-1", row.Encode())
	direct, release := directWithStore(t, store)
	defer release()
	versions := direct.versions
	boot := timekeeper.Instant(timekeeper.Hour)
	versions.history, versions.sinceBoot = resumer.NewHistory(true), func() timekeeper.Instant { return boot }
	known := resumer.Versions{Only: "v1", For: resumer.HistorySpan}
	Convey("until the list is confirmed, and its history begins anew", t, func() {
		direct.replicas.Step(t.Context())
		So(versions.of("planner"), ShouldResemble, known)
		boot = boot.Add(maxStandstill)
		So(versions.of("planner"), ShouldResemble, known)
		boot = boot.Add(maxStandstill + 1)
		So(versions.of("planner"), ShouldResemble, resumer.Versions{})
		_ = direct.clock.Sleep(t.Context(), 2)
		direct.replicas.Step(t.Context())
		got := versions.of("planner")
		So(got.Only, ShouldEqual, "v1")
		So(got.For, ShouldBeLessThan, timekeeper.Second)
	})
}
