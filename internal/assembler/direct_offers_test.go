package assembler

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

// unreachable is an address at which nobody listens.
const unreachable = "127.0.0.1:1"

func TestAVersionThatNoPeerGives(t *testing.T) {
	// A key is taken away. Peers say that they have the new version, but none can be
	// reached, and newer versions go on coming. An entry that leaves the reading to
	// others reads the store itself soon; as long as it lacks a version, later ones don't
	// put that off. Once it has caught up it leaves the reading to others again.
	direct, release := directOnLoopback(t)
	defer release()
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	direct.clock = clock.Clock()
	direct.peers.election.discoveryEnds = clock.Now().Add(timekeeper.Hour)
	inForce := func(version int) {
		document, err := platform.DecodeConfiguration(fmt.Appendf(nil, `{"version":%d}`, version))
		So(err, ShouldBeNil)
		direct.applyConfiguration(document, "test")
	}
	tests := []struct {
		name string
		// after is the time since the step before, offered a version that a peer has, and
		// accepted one that comes into force; zero means none.
		after             timekeeper.Span
		offered, accepted int
		reads             bool
	}{
		{"nothing is offered", 0, 0, 1, false},
		{"a version is offered", 10, 2, 0, false},
		{"a newer one is", offerTimeout / 2, 3, 0, false},
		{"the first has been lacking for long", offerTimeout/2 + 1, 4, 0, true},
		{"it came, the newest did not", 0, 0, 3, true},
		{"the newest came", 0, 0, 4, false},
		{"another is offered", 10 * timekeeper.Second, 5, 0, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			clock.Advance(test.after)
			if test.offered > 0 {
				direct.peers.offer(offer{address: unreachable, version: uint64(test.offered)})
			}
			if test.accepted > 0 {
				inForce(test.accepted)
			}
			So(direct.peers.readsConfiguration(), ShouldEqual, test.reads)
		})
	}
}

func TestFewCopiesAreGivenAtATime(t *testing.T) {
	// A configuration of hundreds of kilobytes changes, and sixteen peers ask a small
	// machine for it at once. It gives a few of them a copy, and these the next; the
	// others are told at once to ask again.
	direct, release := directOnLoopback(t)
	defer release()
	ask := func() int {
		answer := httptest.NewRecorder()
		direct.peers.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, pathConfiguration, http.NoBody))
		return answer.Code
	}
	Convey("and the next once one has ended", t, func() {
		document, err := platform.DecodeConfiguration([]byte(`{"version":1}`))
		So(err, ShouldBeNil)
		direct.applyConfiguration(document, "test")
		So(ask(), ShouldEqual, http.StatusOK)
		for range maxTransfers {
			So(direct.peers.transfer.begin(), ShouldBeTrue)
		}
		So(ask(), ShouldEqual, http.StatusServiceUnavailable)
		direct.peers.transfer.end()
		So(ask(), ShouldEqual, http.StatusOK)
	})
}
