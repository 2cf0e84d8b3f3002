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

// reportedLoad is what the agent's answers have last brought of its load.
//
// It is made for an agent that ends many short calls a second: a digest of a
// hundred bytes on each would cost more control traffic than all rounds. The
// harm of bringing none is an entry that goes by loads of some seconds ago and
// is refused by the agent for it. So an answer brings it when a second has
// passed, or when the load has changed by a quarter since it was last reported.
type reportedLoad struct {
	at   timekeeper.Instant
	load int64
}

// due reports whether an answer should bring the load, and what was reported after it.
func (reported reportedLoad) due(now timekeeper.Instant, load int64) (bool, reportedLoad) {
	change := load - reported.load
	if change < 0 {
		change = -change
	}
	much := change > 0 && change*tellShare >= reported.load
	if reported.at != 0 && now.Since(reported.at) < tellEvery && !much {
		return false, reported
	}
	return true, reported.with(now, load)
}

func (reported reportedLoad) with(now timekeeper.Instant, load int64) reportedLoad {
	reported.at, reported.load = now, load
	return reported
}

// atEnd returns what the answer to an offer brings of the agent, or nil. The
// call that ends is not part of the load any more.
func (agent *Agent) atEnd(offer *encoder.Offer) *encoder.Digest {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	load := agent.controller.Load().Work - offer.GetWork()
	due, after := agent.reported.due(agent.settings.Clock.Now(), load)
	if !due {
		return nil
	}
	digest := agent.digest()
	digest.Load = load
	digest.Running = max(1, digest.GetRunning()) - 1
	if !agent.settings.AllowDigest(digest) {
		return nil
	}
	agent.reported = after
	return digest
}
