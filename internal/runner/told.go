package runner

import (
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// tellEvery is how often an answer brings what the agent is now, though
	// nothing much has changed: as often as a round of membership.
	tellEvery = timekeeper.Second
	// tellShare is the part of the load last told by which the load must have
	// changed for an answer to bring it sooner.
	tellShare = 4
)

// told is what the agent's answers have last brought of its load.
//
// It is made for an agent that ends many short calls a second: a digest of a
// hundred bytes on each would cost more control traffic than all rounds. The
// harm of bringing none is an entry that goes by loads of some seconds ago and
// is refused by the agent for it. So an answer brings it when a second has
// passed, or when the load has changed by a quarter since it was last told.
type told struct {
	at   timekeeper.Instant
	load int64
}

// due reports whether an answer should bring the load, and the told after it.
func (told told) due(now timekeeper.Instant, load int64) (bool, told) {
	change := load - told.load
	if change < 0 {
		change = -change
	}
	much := change > 0 && change*tellShare >= told.load
	if told.at != 0 && now.Since(told.at) < tellEvery && !much {
		return false, told
	}
	return true, told.with(now, load)
}

func (told told) with(now timekeeper.Instant, load int64) told {
	told.at, told.load = now, load
	return told
}

// atEnd returns what the answer to an offer brings of the agent, or nil. The
// call that ends is not part of the load any more.
func (agent *Agent) atEnd(offer *encoder.Offer) *encoder.Digest {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	load := agent.desk.Load().Work - offer.GetWork()
	due, after := agent.told.due(agent.settings.Clock.Now(), load)
	if !due {
		return nil
	}
	digest := agent.digest()
	digest.Load = load
	digest.Running = max(1, digest.GetRunning()) - 1
	if !agent.settings.Tell(digest) {
		return nil
	}
	agent.told = after
	return digest
}
