package forwarder

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/placer"
)

func TestACallerWhoLeavesAccusesNoReplica(t *testing.T) {
	// Impatient callers would have sound replicas held dead: a dial that was
	// given up looks like one that failed.
	tests := []struct {
		name string
		left bool
		want int
	}{{"the replica failed", false, 1}, {"the caller left", true, 0}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			count := 0
			entry := New(Settings{OnUnreachable: func(string, string) { count++ }})
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if test.left {
				leave()
			}
			entry.failed(ctx, call{service: "orders"}, placer.Replica{Name: "orders-1"})
			So(count, ShouldEqual, test.want)
		})
	}
}
