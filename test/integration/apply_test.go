package integration

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/publisher"
)

// interruptedStore is a proxy between an operator's command and the store. It aborts
// one call, before or after the store has executed it, and all calls after that.
type interruptedStore struct {
	store http.Handler
	// step is the path of the first call to abort, "" for none.
	step string
	// loseAnswer passes that call on to the store and drops only its answer.
	loseAnswer bool
	// recovers makes all calls after that one succeed.
	recovers bool

	mu          sync.Mutex
	unavailable bool
}

func (proxy *interruptedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	proxy.mu.Lock()
	interrupted := !proxy.unavailable && r.URL.Path == proxy.step
	unavailable := proxy.unavailable || interrupted
	proxy.unavailable = unavailable && !proxy.recovers
	if interrupted && proxy.recovers {
		proxy.step = ""
	}
	proxy.mu.Unlock()
	if interrupted && proxy.loseAnswer {
		proxy.store.ServeHTTP(httptest.NewRecorder(), r)
	}
	if unavailable {
		panic(http.ErrAbortHandler)
	}
	proxy.store.ServeHTTP(w, r)
}

func TestApplyLosesTheStoreAtEachStep(t *testing.T) {
	t.Parallel()
	// Guards against a wrong result of "config apply" and against a change that is
	// recorded twice. The command loses the store at one of its steps, while the
	// fleet still reaches it. The command prints "not accepted", "not known" or
	// "accepted", whichever is true; run again, it ends in "accepted", and the
	// history holds the change once.
	tests := []struct {
		name      string
		proxy     *interruptedStore
		code      int
		wantText  string
		revisions int
	}{
		{"before the object is written", &interruptedStore{step: "/object"}, 1, "not accepted", 1},
		{"after the object is written", &interruptedStore{step: "/table/row"}, 1, "not accepted", 1},
		{"the commit never arrives", &interruptedStore{step: "/table/commit"}, 1, "not known whether accepted", 1},
		{"the commit's answer is lost", &interruptedStore{step: "/table/commit", loseAnswer: true}, 1, "not known whether accepted", 2},
		{"only the commit's answer is lost", &interruptedStore{step: "/table/commit", loseAnswer: true, recovers: true}, 0, "accepted: revision 2", 2},
		{"during -wait", &interruptedStore{step: "/instances"}, 1, "revision 2 is accepted, but the processes can't be listed", 2},
	}
	rigs := make([]*rig, len(tests))
	outcomes := make([]outcome, len(tests))
	var operators sync.WaitGroup
	for i := range tests {
		rigs[i] = newRig(t, quickConfig())
		rigs[i].addOrders("orders-1", 0)
		tests[i].proxy.store = rigs[i].platform.Handler()
		address := rigs[i].serve(tests[i].proxy)
		operators.Go(func() { outcomes[i] = applyFour(t, address) })
	}
	operators.Wait()
	for i, test := range tests {
		revisions := func() int {
			changes, err := publisher.History(t.Context(), rigs[i].platform.InProcess(), 0, 100)
			So(err, ShouldBeNil)
			return len(changes)
		}
		Convey(test.name, t, func() {
			So(outcomes[i].text, ShouldContainSubstring, test.wantText)
			So(outcomes[i].code, ShouldEqual, test.code)
			So(revisions(), ShouldEqual, test.revisions)
			again := applyFour(t, rigs[i].platformURL)
			So(again.text, ShouldContainSubstring, "in force: revision 2 at 1 processes")
			So(again.code, ShouldEqual, 0)
			So(revisions(), ShouldEqual, 2)
			So(rigs[i].agents["orders-1"].configStatus(t.Context()).Revision, ShouldEqual, 2)
		})
	}
}

// outcome is the output of a command and its exit code.
type outcome struct {
	text string
	code int
}

// applyFour applies a base with four slots; each run makes the same change.
func applyFour(t *testing.T, address string) outcome {
	t.Helper()
	text, code := configure(t, "apply", "-platform", address, "-base", baseFile(t, "base.toml", 4),
		"-edited-from", "1", "-operator", "almaz", "-wait", "-timeout", "5s")
	return outcome{text: text, code: code}
}
