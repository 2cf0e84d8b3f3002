package runner

import (
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// redirect returns a refusal when another replica holds the chat's prefix; the lock must
// be held.
func (agent *Agent) redirect(offer *encoder.Offer, now timekeeper.Instant) (classifier.Failure, bool) {
	if agent.service.Kind != resolver.KindModel {
		return classifier.Failure{}, false
	}
	if !agent.directory.ShouldRedirect(agent.chatOffer(offer, now)) {
		return classifier.Failure{}, false
	}
	return classifier.New(classifier.Moved, "the chat last ran at another replica"), true
}

// chatOffer converts an offer for the directory; the lock must be held.
func (agent *Agent) chatOffer(offer *encoder.Offer, now timekeeper.Instant) placer.ChatOffer {
	return placer.ChatOffer{
		Chat:            offer.GetChat(),
		Attempt:         int(offer.GetAttempt()),
		Ranked:          offer.GetCandidates(),
		OnlyIfCached:    offer.GetSeek(),
		RecentlyStarted: now.Since(agent.startedAt) < *agent.service.SettleTime,
		CanFetch:        agent.canFetch(),
	}
}

// hints returns the replicas that a refused caller should try: the one that last ran the
// chat, or else one with free capacity.
func (agent *Agent) hints(offer *encoder.Offer, failure classifier.Failure) (holder, alternative string) {
	if !classifier.AnswerOf(failure.Kind).Elsewhere {
		return "", ""
	}
	agent.mu.Lock()
	holder = agent.directory.Locate(offer.GetChat())
	agent.mu.Unlock()
	if holder == agent.settings.Name {
		holder = ""
	}
	// Only a refusal at the load bound names an alternative: then some replica must be
	// below the mean. A full queue may be one of many.
	if failure.Kind != classifier.AtBound {
		return holder, ""
	}
	return holder, agent.settings.Alternative()
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
