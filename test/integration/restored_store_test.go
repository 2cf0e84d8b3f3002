package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/disturber"
)

func TestResendsAfterTheStoreReturned(t *testing.T) {
	// Guards against a second run of an order whose claim the store has lost, by resends that
	// reach another agent through another entry.
	t.Parallel()
	tests := []struct {
		name string
		// part takes the agent that ran the order from the entries.
		part func(site *faultSite)
	}{
		{"the entries can't reach the owner, which writes its claim again", func(site *faultSite) {
			site.rig.proxies["orders-1"].Set(disturber.FromTarget, disturber.Fault{Discard: true})
		}},
		{"the owner is killed, and the entry writes its claim again", func(site *faultSite) { site.agent.kill() }},
		{"the owner is paused, and the entry writes its claim again", func(site *faultSite) { site.agent.signal(syscall.SIGSTOP) }},
		{"the entry is killed, and the owner writes its claim again", func(site *faultSite) {
			site.entries[0].kill()
			site.rig.proxies["orders-1"].Set(disturber.FromTarget, disturber.Fault{Discard: true})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			site := newFaultSite(t, false)
			copied := site.rig.platform.Copy()
			Convey(test.name, t, func() {
				first := site.entries[0].order(t.Context(), site.key, "{}")
				So(first.status, ShouldEqual, http.StatusOK)
				test.part(site)
				site.rig.platform.Restore(copied)
				site.rig.addOrders("orders-2", 0)
				site.rig.eventually("another order is served", func() bool {
					resent := site.resend()
					So(resent.ran() == "no" && resent.status != http.StatusServiceUnavailable, ShouldBeFalse)
					return site.entries[1].order(t.Context(), fmt.Sprint("new-", site.rig.clock.Now()), "{}").status == http.StatusOK
				})
				for range 5 {
					So(site.resend().status, ShouldNotEqual, http.StatusOK)
				}
				So(site.rig.ledger.Runs(site.key), ShouldEqual, 1)
			})
		})
	}
}
