package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// leastTimeWeight is how much a millisecond counts at engines with slack, and what
	// is left to decide among engines by then.
	leastTimeWeight = 0.2
	// slackTargets is in how many of its targets the first part of an answer must be
	// expected for a millisecond to count whole.
	slackTargets = 2.0
	// fullTargets is for which part of their target prompts wait at the mean engine for
	// the engines to count as full.
	fullTargets = 0.5
)

// timeWeight says how much a millisecond counts beside what operators pay for reading
// and moving prompts. The zero value counts it whole.
//
// Time counts by how much of its target a request has left: reading or moving a prompt to
// save a wait that no caller notices is paid for nothing. It counts whole where the engines
// are full: there a millisecond of one is one less for all who wait. How many requests an
// engine holds always counts whole: discounted too, it puts hot prompts beyond their
// engine's share.
type timeWeight struct {
	// within is the target of the request, full how full the engines are, from zero on;
	// one is full.
	within timekeeper.Span
	full   float64
}

// timeWeight returns the weight for a request, by what waits at the engines, and by how
// much later than expected answers of the service begin: engines may read more slowly
// than they are taken to.
func (fleet *Fleet) timeWeight(ask Request, held []holding, now timekeeper.Instant) timeWeight {
	if ask.MaxEngineWait <= 0 || len(held) == 0 {
		return timeWeight{}
	}
	waiting := 0.0
	for _, holding := range held {
		waiting += holding.waiting
	}
	late := max(0, fleet.paceOf(ask.Service).excess.now(paceMemory, now))
	mean := waiting/float64(len(held)) + late
	return timeWeight{within: ask.MaxEngineWait, full: mean / (fullTargets * float64(ask.MaxEngineWait))}
}

// at returns the weight where the first part of the answer is expected after a time in
// milliseconds: from leastTimeWeight to one.
func (weight timeWeight) at(expected float64) float64 {
	if weight.within <= 0 {
		return 1
	}
	used := expected / (slackTargets * float64(weight.within))
	return min(1, max(leastTimeWeight, weight.full, used))
}
