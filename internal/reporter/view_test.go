package reporter

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestRoomIsNeverTheOneThatAsks(t *testing.T) {
	// The caller would be sent back to the replica that has just refused it.
	// The asker has the least load it knows of, since others' loads are older.
	log := logrus.New()
	log.SetOutput(io.Discard)
	listed := []storekeeper.Instance{}
	view := NewView(Settings{
		Directory: storekeeper.Directory{List: func(context.Context) ([]storekeeper.Instance, error) { return listed, nil }},
		Clock:     timekeeper.NewManual(start).Clock(), Log: log, Budget: budgeter.New(budgeter.Settings{}),
	})
	digests := []struct {
		name string
		load int64
	}{{"r0", 1}, {"r1", 50}, {"r2", 20}}
	for _, one := range digests {
		digest := said(one.name, 10, 1, live)
		digest.Service, digest.Load = "planner", one.load
		view.Learn(digest)
	}
	tests := []struct{ asker, least, most string }{{"r0", "r2", "r1"}, {"r1", "r0", "r2"}}
	for _, test := range tests {
		Convey(test.asker+" mostly names "+test.least, t, func() {
			const draws = 400
			named := map[string]int{}
			for range draws {
				named[view.Room("planner", test.asker)]++
			}
			So(named[test.asker], ShouldEqual, 0)
			So(named[test.least]+named[test.most], ShouldEqual, draws)
			// The lesser of two draws from two replicas is the least in three of four.
			So(named[test.least], ShouldBeBetween, draws*65/100, draws*85/100)
		})
	}
}
