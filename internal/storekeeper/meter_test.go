package storekeeper

import (
	"context"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// stub returns a platform whose calls all return the error that fail returns.
func stub(fail func() error) Platform {
	return Platform{
		Table: Table{
			Get:    func(context.Context, string, string) (Row, error) { return Row{}, fail() },
			Scan:   func(context.Context, string, string, string, int) ([]Row, error) { return nil, fail() },
			Commit: func(context.Context, []Write) error { return fail() },
		},
		Objects: Objects{
			Put:  func(context.Context, string, []byte) error { return fail() },
			Get:  func(context.Context, string) ([]byte, error) { return nil, fail() },
			List: func(context.Context, string, string, int) ([]string, error) { return nil, fail() },
		},
		Directory: Directory{List: func(context.Context) ([]Instance, error) { return nil, fail() }},
	}
}

func TestMeterCountsAndLimitsByCause(t *testing.T) {
	// Guards against a cause that calls the store in a tight loop, and against a store
	// that doesn't answer. In both cases the store gets a bounded number of calls, and
	// other causes keep theirs.
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	var failure error
	sent := 0
	counted := map[Cause]Tally{}
	meter := NewMeter(MeterSettings{
		Clock: clock.Clock(), Rates: func() Rates { return Rates{Reads: 3, Writes: 2} },
		Count: func(cause Cause, outcome Outcome) { counted[cause] = counted[cause].with(outcome) },
	})
	platform := meter.Wrap(stub(func() error { sent++; return failure }))
	ctx := context.Background()
	Convey("only the cause over its rate is limited", t, func() {
		for range 5 {
			_, _ = platform.Table.Get(ctx, "config", "head")
		}
		_, err := platform.Objects.Get(ctx, "config/abc")
		So(eris.Is(err, ErrBusy), ShouldBeTrue)
		So(platform.Objects.Put(ctx, "record/x/1", nil), ShouldBeNil)
		for range 4 {
			So(platform.Table.Commit(ctx, []Write{{Table: "claims"}}), ShouldBeNil)
		}
		_, err = platform.Directory.List(ctx)
		So(err, ShouldBeNil)
		So(meter.Tallies(), ShouldResemble, map[Cause]Tally{
			ForConfig:    {Reads: 3, Refused: 3},
			ForRecord:    {Writes: 1},
			ForClaims:    {Writes: 4},
			ForInstances: {Reads: 1},
		})
		So(sent, ShouldEqual, 9)
		So(counted, ShouldResemble, meter.Tallies())
	})
	Convey("calls are allowed again after a second", t, func() {
		clock.Advance(timekeeper.Second)
		_, err := platform.Table.Get(ctx, "config", "head")
		So(err, ShouldBeNil)
	})
	Convey("after failures no call is sent until the pause is over", t, func() {
		failure = ErrUnknown
		platform := NewMeter(MeterSettings{Clock: clock.Clock()}).Wrap(stub(func() error { sent++; return failure }))
		before := sent
		for range 100 {
			_, err := platform.Directory.List(ctx)
			So(err, ShouldNotBeNil)
			clock.Advance(10 * timekeeper.Millisecond)
		}
		So(sent-before, ShouldBeBetween, 3, 9)
		failure = nil
		clock.Advance(maxPause)
		_, err := platform.Directory.List(ctx)
		So(err, ShouldBeNil)
	})
}
