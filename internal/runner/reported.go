package runner

import (
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// reportInterval is how often an answer carries the agent's digest although the load
	// has hardly changed: as often as a membership round.
	reportInterval = timekeeper.Second
	// reportDivisor sets when an answer carries a digest sooner: if the load has changed by
	// at least 1/reportDivisor since the last report.
	reportDivisor = 4
)

// reportedLoad is the load that the agent's answers last reported.
//
// An agent may end many short calls a second, and a digest of a hundred bytes on each
// would cost more control traffic than all membership rounds. Without any digest, an entry
// would place calls by loads that are seconds old, and the agent would refuse them. So an
// answer carries a digest when a second has passed, or when the load has changed by a
// quarter since the last report.
type reportedLoad struct {
	at   timekeeper.Instant
	load int64
}

// due reports whether an answer should carry the load, and returns the new state.
func (reported reportedLoad) due(now timekeeper.Instant, load int64) (bool, reportedLoad) {
	change := load - reported.load
	if change < 0 {
		change = -change
	}
	significant := change > 0 && change*reportDivisor >= reported.load
	if reported.at != 0 && now.Since(reported.at) < reportInterval && !significant {
		return false, reported
	}
	return true, reported.with(now, load)
}

func (reported reportedLoad) with(now timekeeper.Instant, load int64) reportedLoad {
	reported.at, reported.load = now, load
	return reported
}

// endDigest returns the digest to send with the end of an answer, or nil. The load in it
// excludes the call that ends.
func (agent *Agent) endDigest(offer *encoder.Offer) *encoder.Digest {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	load := agent.controller.Load().Work - offer.GetWork()
	due, next := agent.reported.due(agent.settings.Clock.Now(), load)
	if !due {
		return nil
	}
	digest := agent.digest()
	digest.Load = load
	digest.Running = max(1, digest.GetRunning()) - 1
	if !agent.settings.AllowDigest(digest) {
		return nil
	}
	agent.reported = next
	return digest
}
