package runner

import (
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// elsewhere returns a refusal when the chat's prefix is at another replica;
// the lock must be held.
func (agent *Agent) elsewhere(offer *encoder.Offer, now timekeeper.Instant) (classifier.Failure, bool) {
	if agent.service.Kind != resolver.KindModel {
		return classifier.Failure{}, false
	}
	if !agent.places.ShouldRedirect(agent.visit(offer, now)) {
		return classifier.Failure{}, false
	}
	return classifier.New(classifier.Moved, "the chat last ran at another replica"), true
}

// visit returns an offer as the directory sees it; the lock must be held.
func (agent *Agent) visit(offer *encoder.Offer, now timekeeper.Instant) placer.ChatOffer {
	return placer.ChatOffer{
		Chat:            offer.GetChat(),
		Attempt:         int(offer.GetAttempt()),
		Ranked:          offer.GetCandidates(),
		OnlyIfCached:    offer.GetSeek(),
		RecentlyStarted: now.Since(agent.born) < *agent.service.RecentStartPeriod,
		CanFetch:        agent.fetches(),
	}
}

// hints returns where the caller of a refused offer should go: to the replica
// that the chat last ran at, else to one with room.
func (agent *Agent) hints(offer *encoder.Offer, failure classifier.Failure) (where, room string) {
	if !classifier.AnswerOf(failure.Kind).Elsewhere {
		return "", ""
	}
	agent.mu.Lock()
	where = agent.places.Locate(offer.GetChat())
	agent.mu.Unlock()
	if where == agent.settings.Name {
		where = ""
	}
	// Only a refusal by the bound names a replica with room: then some replica
	// has less than the mean, while a full queue may be one of many.
	if failure.Kind != classifier.AtBound {
		return where, ""
	}
	return where, agent.settings.Room()
}

// noteChat remembers that a chat runs here.
func (agent *Agent) noteChat(chat uint64, tokens int64) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.places.Record(chat, agent.settings.Name, tokens)
}

// notePointer remembers that a chat whose home is here ran elsewhere.
func (agent *Agent) notePointer(put *encoder.PointerPut) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.places.Record(put.GetChat(), put.GetInstance(), put.GetTokens())
}
