package runner

import (
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// applyConfig applies a new configuration revision to the service; Agent.mu must be held.
// Each admission decision calls it, so the first decision after a revision comes into
// force already uses it. An agent whose service has left the configuration keeps its old
// settings: only the platform stops an agent; a change of the configuration doesn't.
func (agent *Agent) applyConfig() {
	config := agent.settings.Config()
	if config.Revision == agent.revision {
		return
	}
	agent.revision = config.Revision
	service, ok := config.Service(agent.settings.Service)
	if !ok {
		return
	}
	agent.service = service
	agent.directory.Resize(service.CacheTokens)
	agent.grantSlots(agent.controller.Resize(controllerLimits(service, agent.settings.Draw), agent.settings.Clock.Now()))
}

// currentService returns the service's configuration in force.
func (agent *Agent) currentService() resolver.Service {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.service
}

// maxAskers bounds how many entries an agent remembers.
const maxAskers = 1024

// askerTTL is how long an entry stays listed after its last message.
const askerTTL = 45 * timekeeper.Second

// askers holds the entries that have sent messages to the agent, with the configuration
// revision of each. From it, an operator can read how far entries lag behind; that needs no
// row in the store for each entry.
type askers struct {
	mu   sync.Mutex
	seen map[string]asker
}

type asker struct {
	revision uint64
	at       timekeeper.Instant
}

func (askers *askers) record(name string, revision uint64, now timekeeper.Instant) {
	askers.mu.Lock()
	defer askers.mu.Unlock()
	if askers.seen == nil {
		askers.seen = map[string]asker{}
	}
	if _, known := askers.seen[name]; !known && len(askers.seen) >= maxAskers {
		askers.expire(now)
	}
	if len(askers.seen) < maxAskers {
		askers.seen[name] = asker{revision: revision, at: now}
	}
}

// expire removes entries that have sent nothing for askerTTL; askers.mu must be held.
func (askers *askers) expire(now timekeeper.Instant) {
	for name, last := range askers.seen {
		if now.Since(last.at) > askerTTL {
			delete(askers.seen, name)
		}
	}
}

func (askers *askers) list(now timekeeper.Instant) []*encoder.Asker {
	askers.mu.Lock()
	defer askers.mu.Unlock()
	askers.expire(now)
	list := make([]*encoder.Asker, 0, len(askers.seen))
	for name, last := range askers.seen {
		list = append(list, &encoder.Asker{Name: name, Revision: last.revision, Age: int64(now.Since(last.at))})
	}
	return list
}

// recordRevision records the configuration revision in a message of an entry or agent.
func (agent *Agent) recordRevision(name string, revision uint64) {
	if name == "" || revision == 0 {
		return
	}
	agent.askers.record(name, revision, agent.settings.Clock.Now())
	agent.settings.OnRevision(revision)
}

func (agent *Agent) withAskers(ask *encoder.DigestAsk, digests *encoder.Digests) *encoder.Digests {
	if ask.GetWantAskers() {
		digests.Askers = agent.askers.list(agent.settings.Clock.Now())
	}
	return digests
}
