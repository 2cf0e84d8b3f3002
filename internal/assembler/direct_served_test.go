package assembler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestSinceWhenOthersAreServed(t *testing.T) {
	// The store does not answer this entry. Since when it has served others says how long
	// replicas have had to write their rows again: a moment too early, and replicas that
	// live are dropped; too late, and one that left gets work.
	const second = timekeeper.Second
	start := timekeeper.Instant(timekeeper.Hour)
	tests := []struct {
		name string
		// served are when others were served after the store was lost here, now the time of
		// the question, want the answer; zero means never.
		served    []timekeeper.Span
		now, want timekeeper.Span
	}{
		{"nobody", nil, 5 * second, 0},
		{"before it was lost there too", []timekeeper.Span{-900, 400}, 5 * second, 0},
		{"all the while", []timekeeper.Span{600, 1400, 2300, 3900}, 4 * second, 600},
		{"since its return", []timekeeper.Span{300, 3000, 3600}, 4 * second, 3000},
		{"for a moment, and now again", []timekeeper.Span{3000, 3300, 5500, 6400}, 7 * second, 5500},
		{"for a moment, not now", []timekeeper.Span{3000, 3300}, 6 * second, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			direct, release := directOnLoopback(t)
			defer release()
			clock := timekeeper.NewManual(start)
			direct.clock = clock.Clock()
			clock.Advance(test.now)
			for _, after := range test.served {
				direct.peers.recordPeerAnswered(start.Add(after))
			}
			want := timekeeper.Instant(0)
			if test.want != 0 {
				want = start.Add(test.want)
			}
			So(direct.peers.servedSince(start), ShouldEqual, want)
		})
	}
}
