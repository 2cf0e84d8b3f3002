package forwarder

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestAForgottenRunIsNotTakenForOneThatNeverWas(t *testing.T) {
	// The caller of a paused entry sees "unknown", since the order has run.
	// The entry is stopped for minutes after it sent the call; the agent ends
	// the run and forgets it; the entry wakes, looks up, and finds "never seen".
	tests := []struct {
		name  string
		state encoder.RunState
		after timekeeper.Span
		known uint64
		want  bool
	}{
		{"at once", encoder.RunState_RUN_STATE_NEVER_SEEN, timekeeper.Second, 7, true},
		{"after a pause", encoder.RunState_RUN_STATE_NEVER_SEEN, provable, 7, false},
		{"an incarnation that was not told", encoder.RunState_RUN_STATE_NEVER_SEEN, 0, 0, false},
		{"another incarnation", encoder.RunState_RUN_STATE_FORGOTTEN, 0, 7, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			at := contact{since: 1000, incarnation: test.known}
			So(at.provesNotRun(test.state, at.since.Add(test.after)), ShouldEqual, test.want)
		})
	}
}

func TestNotRunIsToldOnlyWhenItIsTrueOfEveryAttempt(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		kinds      []classifier.Kind
		tried      int
		told       classifier.Kind
	}{
		{"refused everywhere", false, []classifier.Kind{classifier.Overloaded, classifier.Draining}, 2, classifier.Draining},
		{"an order that was lost is tried nowhere else", false, []classifier.Kind{classifier.OutcomeUnknown, classifier.Overloaded}, 1, classifier.OutcomeUnknown},
		{"a lost attempt stays unknown after a refusal", true, []classifier.Kind{classifier.OutcomeUnknown, classifier.Overloaded}, 2, classifier.OutcomeUnknown},
		{"a key of another body is final", false, []classifier.Kind{classifier.KeyReused, classifier.Overloaded}, 1, classifier.KeyReused},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var attempts attempts
			tried := 0
			for _, kind := range test.kinds {
				tried++
				if !attempts.add(call{idempotent: test.idempotent}, classifier.New(kind, "")) {
					break
				}
			}
			So(tried, ShouldEqual, test.tried)
			So(attempts.failure().Kind, ShouldEqual, test.told)
		})
	}
}

func TestAnEndBelongsToTheBytesThatWereRelayed(t *testing.T) {
	// The caller's connection is cut before an answer with a changed byte could
	// be taken for whole; a resumed one is checked over the bytes behind the offset.
	sum := xxhash.Sum64String
	tests := []struct {
		name    string
		resumed bool
		end     *encoder.End
		want    bool
	}{
		{"the whole", false, &encoder.End{RequestId: "a", Length: 4, Digest: sum("rest")}, true},
		{"another digest", false, &encoder.End{RequestId: "a", Length: 4, Digest: sum("rust")}, false},
		{"another length", false, &encoder.End{RequestId: "a", Length: 5, Digest: sum("rest")}, false},
		{"another request", false, &encoder.End{RequestId: "b", Length: 4, Digest: sum("rest")}, false},
		{"a resumed part", true, &encoder.End{RequestId: "a", Length: 4, Digest: sum("all"), PartDigest: sum("rest")}, true},
		{"another part", true, &encoder.End{RequestId: "a", Length: 4, Digest: sum("rest"), PartDigest: sum("rust")}, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			answer := &relayed{expected: "a", length: 4, digest: xxhash.New(), resumed: test.resumed}
			_, _ = answer.digest.WriteString("rest")
			So(answer.agrees(test.end), ShouldEqual, test.want)
		})
	}
}
