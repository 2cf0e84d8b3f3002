package quarantiner

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// suspectTime is how long after the end of a run a crash of its replica still counts against the
	// request. A replica writes into the list once a second and is removed after three silent intervals,
	// so by then a crash that no connection showed is known.
	suspectTime = 3 * timekeeper.Second
	// maxAbandonedTime bounds the time for which a replica may go on with a request that was given up.
	maxAbandonedTime = 15 * timekeeper.Second
	// maxRuns bounds the runs of an entry, some 80 bytes each.
	maxRuns = 4096
	// maxSuspects bounds the runs that a crash counts against. Those that ended last are kept.
	maxSuspects = 32
)

// Runs are the requests that an entry has sent to replicas and whose runs have ended, or were given up, too
// short a while ago to tell whether the replica outlives them. R is what the entry knows of a replica.
//
// Runs does no I/O and has no clock.
type Runs[R any] struct {
	byIncarnation map[string]*replicaRuns[R]
	count         int
}

type replicaRuns[R any] struct {
	replica R
	// runs are in the order in which they ended.
	runs []run
}

// run is a request that a replica has run.
type run struct {
	request Feature
	// until is when a crash of the replica no longer counts against the request.
	until timekeeper.Instant
	// whole reports whether the replica has answered completely.
	whole bool
}

// Outlived is a request that a replica has answered completely, and that it outlived as far as is known.
type Outlived[R any] struct {
	Request Feature
	Replica R
}

// NewRuns returns an empty record of runs.
func NewRuns[R any]() *Runs[R] { return &Runs[R]{byIncarnation: map[string]*replicaRuns[R]{}} }

// End records that an incarnation of a replica has answered a request completely.
func (runs *Runs[R]) End(incarnation string, replica R, request Feature, now timekeeper.Instant) {
	runs.add(incarnation, replica, run{request: request, until: now.Add(suspectTime), whole: true})
}

// Abandon records that a request was given up that an incarnation of a replica may run until a deadline.
func (runs *Runs[R]) Abandon(incarnation string, replica R, request Feature, deadline, now timekeeper.Instant) {
	end := max(now, min(deadline, now.Add(maxAbandonedTime)))
	runs.add(incarnation, replica, run{request: request, until: end.Add(suspectTime)})
}

func (runs *Runs[R]) add(incarnation string, replica R, added run) {
	known, found := runs.byIncarnation[incarnation]
	if !found {
		known = &replicaRuns[R]{replica: replica}
	}
	before := len(known.runs)
	known.runs = slices.DeleteFunc(known.runs, func(run run) bool {
		if run.request == added.request {
			added.until = max(added.until, run.until)
			return true
		}
		return false
	})
	runs.count -= before - len(known.runs)
	if runs.count >= maxRuns {
		return
	}
	known.runs = append(known.runs, added)
	runs.byIncarnation[incarnation] = known
	runs.count++
}

// Crash returns the requests against which a crash of an incarnation counts, in the order in which their
// runs ended, and forgets them.
func (runs *Runs[R]) Crash(incarnation string, now timekeeper.Instant) (suspects []Feature) {
	known, found := runs.byIncarnation[incarnation]
	if !found {
		return nil
	}
	delete(runs.byIncarnation, incarnation)
	runs.count -= len(known.runs)
	for _, run := range known.runs {
		if run.until > now {
			suspects = append(suspects, run.request)
		}
	}
	return suspects[max(0, len(suspects)-maxSuspects):]
}

// Expire forgets the runs that a crash no longer counts against, and returns those with a complete answer.
func (runs *Runs[R]) Expire(now timekeeper.Instant) (outlived []Outlived[R]) {
	for incarnation, known := range runs.byIncarnation {
		before := len(known.runs)
		known.runs = slices.DeleteFunc(known.runs, func(run run) bool {
			if run.until > now {
				return false
			}
			if run.whole {
				outlived = append(outlived, Outlived[R]{Request: run.request, Replica: known.replica})
			}
			return true
		})
		runs.count -= before - len(known.runs)
		if len(known.runs) == 0 {
			delete(runs.byIncarnation, incarnation)
		}
	}
	return outlived
}

// Watched returns the replicas whose crash would count against a request.
func (runs *Runs[R]) Watched() []R {
	watched := make([]R, 0, len(runs.byIncarnation))
	for _, known := range runs.byIncarnation {
		watched = append(watched, known.replica)
	}
	return watched
}

// Watches reports whether a crash of an incarnation would count against a request.
func (runs *Runs[R]) Watches(incarnation string) bool {
	_, found := runs.byIncarnation[incarnation]
	return found
}
