package claimer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestALeavingOwnerReleasesUnusedKeys(t *testing.T) {
	// The caller's connection breaks before its order is sent, and the agent that
	// owns the key leaves. Without a release the resend would get "unknown" for an
	// order that never ran. A key under which a request started stays bound.
	tests := []struct {
		name    string
		prepare func(book *Book)
		free    bool
	}{
		{"never started", func(book *Book) { book.Abandon("first") }, true},
		{"started", func(book *Book) { book.Start("first", 0) }, false},
		{"ended", func(book *Book) { book.Start("first", 0); book.End("first", true, 1) }, false},
		{"claimed and not started", func(*Book) {}, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			now := func() timekeeper.Instant { return 0 }
			committer := NewCommitter(imitator.NewPlatform(timekeeper.Wall()).InProcess().Table, now)
			book := NewBook(Settings{Name: "leaver", Incarnation: 1})
			claim := Claim{Key: "key", Request: "first", Fingerprint: 9}
			row := book.Claim(claim, 0).Row
			So(book.Resolve(claim, committer.Commit(t.Context(), []Row{row})[0]).Step, ShouldEqual, Proceed)
			test.prepare(book)
			So(committer.Release(t.Context(), book.TakeUnused()), ShouldBeNil)
			So(book.Start("first", 0) && test.free, ShouldBeFalse)
			successor := Row{Key: "key", Owner: Owner{Agent: "heir", Incarnation: 2, Request: "second"}, Fingerprint: 9}
			So(committer.Commit(t.Context(), []Row{successor})[0].Outcome == Won, ShouldEqual, test.free)
		})
	}
}
