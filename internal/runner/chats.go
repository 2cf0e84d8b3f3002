package runner

import (
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// redirect returns a refusal when the directory decides that the offer should go to another
// replica: the one that holds the chat's prefix, the chat's home, or the runner-up that was
// its home before. Agent.mu must be held.
func (agent *Agent) redirect(offer *encoder.Offer, now timekeeper.Instant) (classifier.Failure, bool) {
	if agent.service.Kind != resolver.KindModel {
		return classifier.Failure{}, false
	}
	if !agent.directory.ShouldRedirect(agent.chatOffer(offer, now)) {
		return classifier.Failure{}, false
	}
	return classifier.New(classifier.Moved, "the chat last ran at another replica"), true
}

// chatOffer converts an offer for the directory; Agent.mu must be held.
func (agent *Agent) chatOffer(offer *encoder.Offer, now timekeeper.Instant) placer.ChatOffer {
	return placer.ChatOffer{
		Chat:            offer.GetChat(),
		Attempt:         int(offer.GetAttempt()),
		Ranked:          offer.GetCandidates(),
		OnlyIfCached:    offer.GetSeek(),
		RecentlyStarted: now.Since(agent.startedAt) < *agent.service.RecentStartPeriod,
		CanFetch:        agent.canFetch(),
	}
}

// hints returns the replicas that the entry should try after a refusal: the one that last
// ran the chat and, for a refusal at the load bound, one with free capacity. Each may be
// empty.
func (agent *Agent) hints(offer *encoder.Offer, failure classifier.Failure) (lastReplica, alternative string) {
	if !classifier.AnswerOf(failure.Kind).RetryElsewhere {
		return "", ""
	}
	agent.mu.Lock()
	lastReplica = agent.directory.Locate(offer.GetChat())
	agent.mu.Unlock()
	if lastReplica == agent.settings.Name {
		lastReplica = ""
	}
	// Only a refusal at the load bound names an alternative: then some replica must be
	// below the mean. A full queue may be one of many.
	if failure.Kind != classifier.AtBound {
		return lastReplica, ""
	}
	return lastReplica, agent.settings.Alternative()
}

// recordChat records that a chat runs on this replica.
func (agent *Agent) recordChat(chat uint64, tokens int64) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.directory.Record(chat, agent.settings.Name, tokens)
}

// recordPointer records that a chat whose home is this replica ran on another one.
func (agent *Agent) recordPointer(put *encoder.PointerPut) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.directory.Record(put.GetChat(), put.GetInstance(), put.GetTokens())
}
