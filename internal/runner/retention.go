package runner

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// maxRetainedBytes bounds the bytes of ended answers that an agent keeps for replays and
// resumes. It is a quarter of what a process may use; an agent that ends fifty answers of
// 4 KB a second stays below it for the two minutes that runs are kept.
const maxRetainedBytes = 32 << 20

// retainedRun is an ended run, or a tombstone, with the size of its answer.
type retainedRun struct {
	run  *run
	size int
}

// endedRuns holds the ended runs in the order in which they ended, so that the cost of
// ending a run doesn't depend on how many are kept. Agent.mu guards it.
type endedRuns struct {
	order []retainedRun
	bytes int
	// nextToDrop is the index of the first run that dropBodies has not reached yet.
	nextToDrop int
}

// retain adds an ended run or a tombstone, then removes expired runs and the bodies beyond
// maxRetainedBytes; Agent.mu must be held.
func (agent *Agent) retain(ended *run, now timekeeper.Instant) {
	ended.endedAt = now
	size := 0
	if ended.answer != nil {
		size = ended.answer.RetainedBytes()
	}
	agent.retained.order = append(agent.retained.order, retainedRun{run: ended, size: size})
	agent.retained.bytes += size
	agent.expireRuns(now)
	agent.retained.dropBodies()
}

// expireRuns removes runs that ended longer than RunRetention ago.
func (agent *Agent) expireRuns(now timekeeper.Instant) {
	retained := &agent.retained
	for len(retained.order) > 0 && now.Since(retained.order[0].run.endedAt) > agent.settings.RunRetention {
		first := retained.order[0]
		retained.order = retained.order[1:]
		if retained.nextToDrop > 0 {
			retained.nextToDrop--
		}
		retained.bytes -= first.size
		if agent.runs[first.run.id] == first.run {
			delete(agent.runs, first.run.id)
		}
		delete(agent.bySerial, first.run.serial)
	}
}

// dropBodies drops the bodies of the oldest answers without readers, until the total is
// within maxRetainedBytes. The runs stay known: a look-up then answers that the answer is
// no longer kept, and never that the call was not seen.
func (retained *endedRuns) dropBodies() {
	for ; retained.bytes > maxRetainedBytes && retained.nextToDrop < len(retained.order); retained.nextToDrop++ {
		oldest := &retained.order[retained.nextToDrop]
		if oldest.size == 0 || oldest.run.readers > 0 {
			continue
		}
		oldest.run.answer.Drop()
		retained.bytes -= oldest.size
		oldest.size = 0
	}
}
