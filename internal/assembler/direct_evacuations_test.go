package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

// evacuated returns the data centres that an entry sends nothing to.
func (direct *Direct) evacuated() (centres []string) {
	direct.fleet.With(func(fleet *balancer.Fleet) { centres = fleet.Evacuations().Centres })
	return centres
}

func TestAnEvacuationThatEndsBetweenTwoReadings(t *testing.T) {
	// Guards against a data centre that stays closed for good: a peer told of it, and it
	// was taken back before this entry read the table, where nothing had changed then.
	store := emulator.NewStore(timekeeper.Steady())
	direct, release := directBefore(t, store)
	defer release()
	direct.operatorTable.Step(t.Context())
	store.Evacuate("bole")
	told := balancer.NewEvacuations(1, []string{"bole"})
	direct.peers.applyDigest(gossiper.Digest{Address: "127.0.0.1:7300", Evacuations: &told})
	Convey("it is open once the table has been read", t, func() {
		So(direct.evacuated(), ShouldResemble, []string{"bole"})
		store.TakeBack("bole")
		direct.operatorTable.Step(t.Context())
		So(direct.evacuated(), ShouldBeEmpty)
	})
}

func TestWhoIsToldOfEvacuations(t *testing.T) {
	// Guards against news that outlives what corrects it, at entries that don't read the
	// operator's table, and against digests that go on telling of what ended long ago.
	direct, release := directOnLoopback(t)
	defer release()
	manual := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	direct.clock = manual.Clock()
	hear := func(version uint64, centres ...string) {
		told := balancer.NewEvacuations(version, centres)
		direct.peers.applyDigest(gossiper.Digest{Address: "127.0.0.1:7300", Evacuations: &told})
	}
	tells := func() bool {
		_, telling := direct.peers.evacuations()
		return telling
	}
	Convey("nothing is told while none is known", t, func() {
		So(tells(), ShouldBeFalse)
		hear(5, "bole")
		So(direct.evacuated(), ShouldResemble, []string{"bole"})
		manual.Advance(timekeeper.Minute)
		So(tells(), ShouldBeTrue)
		Convey("an older word changes nothing, a newer one ends it", func() {
			hear(4)
			So(direct.evacuated(), ShouldResemble, []string{"bole"})
			hear(6)
			So(direct.evacuated(), ShouldBeEmpty)
			So(tells(), ShouldBeTrue)
			manual.Advance(endPublishTime)
			So(tells(), ShouldBeFalse)
			Convey("and a peer that still goes by the older one is told", func() {
				hear(5, "bole")
				So(direct.evacuated(), ShouldBeEmpty)
				So(tells(), ShouldBeTrue)
				manual.Advance(correctionPublishTime)
				So(tells(), ShouldBeFalse)
			})
		})
	})
}
