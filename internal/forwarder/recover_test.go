package forwarder

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestForgottenRunIsNotReportedAsNotRun(t *testing.T) {
	// Guards against "not run" for an order that has run. The entry is paused for
	// minutes after it sent the call; meanwhile the agent ends the run and forgets
	// it. The entry then looks the call up and finds "never seen". The caller must
	// get "unknown".
	tests := []struct {
		name             string
		state            encoder.RunState
		after            timekeeper.Span
		knownIncarnation uint64
		want             bool
	}{
		{"a look-up at once", encoder.RunState_RUN_STATE_NEVER_SEEN, timekeeper.Second, 7, true},
		{"a look-up after a pause", encoder.RunState_RUN_STATE_NEVER_SEEN, proofWindow, 7, false},
		{"an unknown incarnation", encoder.RunState_RUN_STATE_NEVER_SEEN, 0, 0, false},
		{"another incarnation", encoder.RunState_RUN_STATE_FORGOTTEN, 0, 7, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			dest := destination{offeredAt: 1000, incarnation: test.knownIncarnation}
			So(dest.provesNotRun(test.state, dest.offeredAt.Add(test.after)), ShouldEqual, test.want)
		})
	}
}

func TestNotRunIsReportedOnlyIfTrueOfEveryAttempt(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		kinds      []classifier.Kind
		tried      int
		reported   classifier.Kind
	}{
		{"refused everywhere", false, []classifier.Kind{classifier.Overloaded, classifier.Draining}, 2, classifier.Draining},
		{"an order that was lost is tried nowhere else", false, []classifier.Kind{classifier.OutcomeUnknown, classifier.Overloaded}, 1, classifier.OutcomeUnknown},
		{"a lost attempt stays unknown after a refusal", true, []classifier.Kind{classifier.OutcomeUnknown, classifier.Overloaded}, 2, classifier.OutcomeUnknown},
		{"a key reused with another body is final", false, []classifier.Kind{classifier.KeyReused, classifier.Overloaded}, 1, classifier.KeyReused},
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
			So(attempts.failure().Kind, ShouldEqual, test.reported)
		})
	}
}

func TestEndMustMatchRelayedBytes(t *testing.T) {
	// Guards against an answer with a changed byte that the caller takes for whole:
	// the entry cuts the connection first. A resumed answer is checked over the
	// bytes after the offset.
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
			answer := &relayedAnswer{requestID: "a", length: 4, digest: xxhash.New(), resumed: test.resumed}
			_, _ = answer.digest.WriteString("rest")
			So(answer.matches(test.end), ShouldEqual, test.want)
		})
	}
}
