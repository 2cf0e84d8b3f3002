package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// minTimeWeight is the weight of a millisecond if engines have slack. It isn't zero, so
	// that time still decides between engines.
	minTimeWeight = 0.2
	// slackTargets is the expected time, in multiples of the request's target, from which a
	// millisecond counts fully.
	slackTargets = 2.0
	// fullTargets is the mean wait of prompts, as a share of their target, from which the
	// engines count as full.
	fullTargets = 0.5
)

// timeWeight is the weight of a millisecond compared with what operators pay for prefill and
// transfers. The zero value gives it full weight.
//
// The weight depends on how much of its target a request has left: a prefill or transfer that
// saves a wait no caller notices is paid for nothing. Time counts fully if the engines are
// full, since a millisecond saved for one request is saved for all that wait. The load of an
// engine always counts fully: discounting it too puts hot prompts beyond their engine's share.
type timeWeight struct {
	// target is the request's MaxEngineWait. fullness is how full the engines are: 0 is idle,
	// 1 or more is full.
	target   timekeeper.Span
	fullness float64
}

// timeWeight returns the weight for a request. It is based on the wait at the engines and on
// the service's excess latency, since engines may prefill more slowly than assumed.
func (fleet *Fleet) timeWeight(request Request, estimates []estimate, now timekeeper.Instant) timeWeight {
	if request.MaxEngineWait <= 0 || len(estimates) == 0 {
		return timeWeight{}
	}
	engineWait := 0.0
	for _, estimate := range estimates {
		engineWait += estimate.engineWait
	}
	excessTime := max(0, fleet.excessLatencyOf(request.Service).excess.now(excessHalfLife, now))
	mean := engineWait/float64(len(estimates)) + excessTime
	return timeWeight{target: request.MaxEngineWait, fullness: mean / (fullTargets * float64(request.MaxEngineWait))}
}

// at returns the weight if the first part of the answer is expected after a time in
// milliseconds. It lies between minTimeWeight and one.
func (weight timeWeight) at(expected float64) float64 {
	if weight.target <= 0 {
		return 1
	}
	used := expected / (slackTargets * float64(weight.target))
	return min(1, max(minTimeWeight, weight.fullness, used))
}
