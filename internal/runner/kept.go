package runner

import "slices"

const (
	// mostKept bounds the bytes of ended answers that an agent keeps for
	// replays and resumes. It is a quarter of what a process may use; an agent
	// that ends a hundred answers of 4 KB a second stays under it for the whole
	// time that runs are kept.
	mostKept = 32 << 20
	// leastKept is what stays when the bound is passed, so that the search for
	// the oldest answers is not made at every end.
	leastKept = mostKept / 4 * 3
)

// trimKept drops the bodies of the oldest ended answers that nobody reads;
// Agent.mu must be held. The runs stay known: a look-up says that the answer is
// no longer kept, and never that the call had not been seen.
func (agent *Agent) trimKept() {
	total := 0
	var ended []*run
	for _, known := range agent.runs {
		if known.ended == 0 || known.tomb || known.readers > 0 {
			continue
		}
		total += known.answer.held()
		ended = append(ended, known)
	}
	if total <= mostKept {
		return
	}
	slices.SortFunc(ended, func(a, b *run) int { return int(a.ended - b.ended) })
	for _, known := range ended {
		if total <= leastKept {
			return
		}
		total -= known.answer.held()
		known.answer.drop()
	}
}

// held returns how many bytes of the body are kept.
func (answer *answer) held() int {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	return len(answer.data)
}

// drop forgets the body. What was read of it can't be read again.
func (answer *answer) drop() {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	answer.base = answer.length()
	answer.data = nil
}
