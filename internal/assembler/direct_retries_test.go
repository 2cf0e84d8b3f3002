package assembler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPartsOfTheRetriesThatAnEntryUses(t *testing.T) {
	// Guards against entries that are cut off from the others, and each take the part of a small
	// fleet: thirty of a hundred would use almost four times what all may.
	tests := []struct {
		name       string
		registered bool
		silent     int
		want       int
	}{
		{"it has not read which others there are", false, 0, 0},
		{"it is the only one", true, 0, minShares},
		{"it hears none of a hundred others", true, 100, sharesPerEntry * 101},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			direct, release := directOnLoopback(t)
			defer release()
			if test.registered {
				direct.peers.coldSharing.recordRegistered(direct.clock.Now())
			}
			for number := range test.silent {
				direct.peers.gossiper.AddPeer(fmt.Sprintf("127.0.1.%d:7300", number+1))
			}
			So(direct.frontendSettings().RetryParts(), ShouldEqual, test.want)
		})
	}
}
