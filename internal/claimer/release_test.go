package claimer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestALeavingOwnerGivesUnusedKeysBack(t *testing.T) {
	// The caller's connection broke before its order was sent, and the agent
	// that holds the key leaves. The resend runs elsewhere; a key under which
	// something ran stays bound, whoever else may have written its row.
	tests := []struct {
		name string
		then func(book *Book)
		free bool
	}{
		{"never started", func(book *Book) { book.Abandon("first") }, true},
		{"started", func(book *Book) { book.Start("first", 0) }, false},
		{"ended", func(book *Book) { book.Start("first", 0); book.End("first", true, 1) }, false},
		{"still held", func(*Book) {}, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			now := func() timekeeper.Instant { return 0 }
			committer := NewCommitter(imitator.NewPlatform(timekeeper.Wall()).InProcess().Table, now)
			book := NewBook(Settings{Name: "leaver", Incarnation: 1})
			ask := Ask{Key: "key", Request: "first", Fingerprint: 9}
			row := book.Ask(ask, 0).Row
			So(book.Settle(ask, committer.Commit(t.Context(), []Row{row})[0]).Step, ShouldEqual, Proceed)
			test.then(book)
			So(committer.Release(t.Context(), book.TakeUnused()), ShouldBeNil)
			So(book.Start("first", 0) && test.free, ShouldBeFalse)
			other := Row{Key: "key", Owner: Owner{Agent: "heir", Incarnation: 2, Request: "second"}, Fingerprint: 9}
			So(committer.Commit(t.Context(), []Row{other})[0].Outcome == Won, ShouldEqual, test.free)
		})
	}
}
