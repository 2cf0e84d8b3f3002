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

// unreachable is an address on which no process listens.
const unreachable = "127.0.0.1:1"

func TestUnfetchableVersionIsReadFromStore(t *testing.T) {
	// Guards against an entry that goes on with an old configuration, in which a revoked
	// key is still valid: peers offer the new version, but none can be reached, and newer
	// versions keep coming. An entry that is not a reader must soon read the store
	// itself, and later offers must not postpone that. Once it has caught up, it stops
	// reading.
	direct, release := directOnLoopback(t)
	defer release()
	clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
	direct.clock = clock.Clock()
	direct.peers.election.discoveryEnds, direct.peers.election.expected = clock.Now().Add(timekeeper.Hour), 100
	inForce := func(version int) {
		document, err := platform.DecodeConfiguration(fmt.Appendf(nil, `{"version":%d}`, version))
		So(err, ShouldBeNil)
		direct.applyConfiguration(document, "test")
	}
	tests := []struct {
		name string
		// after is the time since the previous step, offered a version that a peer has, and
		// applied a version that comes into force; zero means none.
		after            timekeeper.Span
		offered, applied int
		readsStore       bool
	}{
		{"nothing is offered", 0, 0, 1, false},
		{"a version is offered", 10, 2, 0, false},
		{"a newer version is offered", offerTimeout / 2, 3, 0, false},
		{"the first version has been missing too long", offerTimeout/2 + 1, 4, 0, true},
		{"the first version is in force, the newest is not", 0, 0, 3, true},
		{"the newest version is in force", 0, 0, 4, false},
		{"another version is offered", 10 * timekeeper.Second, 5, 0, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			clock.Advance(test.after)
			if test.offered > 0 {
				direct.peers.handleOffer(offer{address: unreachable, version: uint64(test.offered)})
			}
			if test.applied > 0 {
				inForce(test.applied)
			}
			So(direct.peers.readsConfiguration(), ShouldEqual, test.readsStore)
		})
	}
}

func TestConcurrentTransfersAreLimited(t *testing.T) {
	// Guards against a small machine that sends a configuration of hundreds of kilobytes
	// to sixteen peers at once, so that all of them wait. It sends a few copies at a
	// time, which those peers can pass on, and refuses the other peers at once.
	direct, release := directOnLoopback(t)
	defer release()
	get := func() int {
		answer := httptest.NewRecorder()
		direct.peers.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, pathConfiguration, http.NoBody))
		return answer.Code
	}
	Convey("another copy is sent once a transfer has ended", t, func() {
		document, err := platform.DecodeConfiguration([]byte(`{"version":1}`))
		So(err, ShouldBeNil)
		direct.applyConfiguration(document, "test")
		So(get(), ShouldEqual, http.StatusOK)
		for range maxTransfers {
			So(direct.peers.transfers.begin(), ShouldBeTrue)
		}
		So(get(), ShouldEqual, http.StatusServiceUnavailable)
		direct.peers.transfers.end()
		So(get(), ShouldEqual, http.StatusOK)
	})
}
