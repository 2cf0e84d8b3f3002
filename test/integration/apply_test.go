package integration

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/publisher"
)

// operatorsStore is the way of one operator's command to the store. It breaks
// off for good at a step, before or after the store has done what it was asked.
type operatorsStore struct {
	store http.Handler
	// step is the path of the first call that breaks off, "" for none.
	step string
	// done lets that call reach the store and loses its answer alone.
	done bool
	// once mends the way after that call.
	once bool

	mu     sync.Mutex
	broken bool
}

func (way *operatorsStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	way.mu.Lock()
	here := !way.broken && r.URL.Path == way.step
	broken := way.broken || here
	way.broken = broken && !way.once
	if here && way.once {
		way.step = ""
	}
	way.mu.Unlock()
	if here && way.done {
		way.store.ServeHTTP(httptest.NewRecorder(), r)
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
	way.store.ServeHTTP(w, r)
}

func TestTheStoreIsLostAtEachStepOfApply(t *testing.T) {
	t.Parallel()
	// The operator is told "not accepted", "not known" or "accepted", each only
	// when it is so, and the same command run again ends in "accepted".
	// The command loses the store for good at one of its steps; the fleet keeps
	// it. Whatever the step, the history holds the change once.
	tests := []struct {
		name      string
		way       *operatorsStore
		code      int
		says      string
		revisions int
	}{
		{"before anything", &operatorsStore{step: "/object"}, 1, "not accepted", 1},
		{"after the object", &operatorsStore{step: "/table/row"}, 1, "not accepted", 1},
		{"the commit never arrives", &operatorsStore{step: "/table/commit"}, 1, "not known whether accepted", 1},
		{"the commit's answer is lost", &operatorsStore{step: "/table/commit", done: true}, 1, "not known whether accepted", 2},
		{"that answer alone is lost", &operatorsStore{step: "/table/commit", done: true, once: true}, 0, "accepted: revision 2", 2},
		{"during -wait", &operatorsStore{step: "/instances"}, 1, "revision 2 is accepted, but the processes can't be listed", 2},
	}
	rigs := make([]*rig, len(tests))
	said := make([]outcome, len(tests))
	var operators sync.WaitGroup
	for i := range tests {
		rigs[i] = newRig(t, quickConfig())
		rigs[i].addOrders("orders-1", 0)
		tests[i].way.store = rigs[i].platform.Handler()
		address := rigs[i].serve(tests[i].way)
		operators.Go(func() { said[i] = applyFour(t, address) })
	}
	operators.Wait()
	for i, test := range tests {
		revisions := func() int {
			changes, err := publisher.History(t.Context(), rigs[i].platform.InProcess(), 0, 100)
			So(err, ShouldBeNil)
			return len(changes)
		}
		Convey(test.name, t, func() {
			So(said[i].text, ShouldContainSubstring, test.says)
			So(said[i].code, ShouldEqual, test.code)
			So(revisions(), ShouldEqual, test.revisions)
			again := applyFour(t, rigs[i].base)
			So(again.text, ShouldContainSubstring, "in force: revision 2 at 1 processes")
			So(again.code, ShouldEqual, 0)
			So(revisions(), ShouldEqual, 2)
			So(rigs[i].agents["orders-1"].configOf(t.Context()).Revision, ShouldEqual, 2)
		})
	}
}

// outcome is what a command printed, and its exit code.
type outcome struct {
	text string
	code int
}

// applyFour makes one and the same change, whenever it is run.
func applyFour(t *testing.T, address string) outcome {
	t.Helper()
	text, code := configure(t, "apply", "-platform", address, "-base", baseFile(t, "base.toml", 4),
		"-edited-from", "1", "-operator", "almaz", "-wait", "-timeout", "5s")
	return outcome{text: text, code: code}
}
