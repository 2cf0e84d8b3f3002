package forwarder

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/placer"
)

func TestCallerThatLeavesReportsNoUnreachableReplica(t *testing.T) {
	// Guards against healthy replicas that are marked as dead because callers
	// leave: a canceled dial looks like one that failed.
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
			entry.reportUnreachable(ctx, call{service: "orders"}, placer.Replica{Name: "orders-1"})
			So(count, ShouldEqual, test.want)
		})
	}
}
