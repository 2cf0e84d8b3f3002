package runner

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// mostKept bounds the bytes of ended answers that an agent keeps for replays
// and resumes. It is a quarter of what a process may use; an agent that ends
// fifty answers of 4 KB a second stays under it for the two minutes that runs
// are kept.
const mostKept = 32 << 20

// keptRun is an ended run, or a tombstone, with the bytes that it holds.
type keptRun struct {
	run  *run
	size int
}

// endedRuns are the ended runs in the order of their ends, so that the end of a run
// costs the same however many are kept. Agent.mu guards it.
type endedRuns struct {
	order []keptRun
	bytes int
	// whole is the index of the first run whose body was not dropped.
	whole int
}

// keep notes an ended run or a tombstone, and lets go of what is too old or too
// much; Agent.mu must be held.
func (agent *Agent) keep(ended *run, now timekeeper.Instant) {
	ended.ended = now
	size := 0
	if ended.answer != nil {
		size = ended.answer.RetainedBytes()
	}
	agent.kept.order = append(agent.kept.order, keptRun{run: ended, size: size})
	agent.kept.bytes += size
	agent.forgetOld(now)
	agent.kept.dropBodies()
}

// forgetOld forgets runs that ended long ago.
func (agent *Agent) forgetOld(now timekeeper.Instant) {
	kept := &agent.kept
	for len(kept.order) > 0 && now.Since(kept.order[0].run.ended) > agent.settings.KeepRun {
		first := kept.order[0]
		kept.order = kept.order[1:]
		if kept.whole > 0 {
			kept.whole--
		}
		kept.bytes -= first.size
		if agent.runs[first.run.id] == first.run {
			delete(agent.runs, first.run.id)
		}
		delete(agent.bySerial, first.run.serial)
	}
}

// dropBodies drops the bodies of the oldest answers that nobody reads, until
// the bound holds. The runs stay known: a look-up says that the answer is no
// longer kept, and never that the call had not been seen.
func (kept *endedRuns) dropBodies() {
	for ; kept.bytes > mostKept && kept.whole < len(kept.order); kept.whole++ {
		oldest := &kept.order[kept.whole]
		if oldest.size == 0 || oldest.run.readers > 0 {
			continue
		}
		oldest.run.answer.Drop()
		kept.bytes -= oldest.size
		oldest.size = 0
	}
}
