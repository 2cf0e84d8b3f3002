package runner

import (
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// adopt takes a changed service into force; the lock must be held. It is
// called at each decision, so that the first decision after a revision is in
// force is made under it. A service that was taken out of the configuration
// leaves the agent as it was: the platform ends the agent, not the file.
func (agent *Agent) adopt() {
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
	agent.places.Resize(service.CacheTokens)
	agent.wake(agent.controller.Resize(limitsOf(service, agent.settings.Draw), agent.settings.Clock.Now()))
}

// serviceNow returns the service as it is in force.
func (agent *Agent) serviceNow() resolver.Service {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.service
}

// askerLimit bounds how many entries an agent remembers.
const askerLimit = 1024

// askerLife is how long an entry that is not heard of stays listed.
const askerLife = 45 * timekeeper.Second

// askers are the entries that an agent has heard from, with the revision that
// each carried: so the fleet's lag can be read from agents, without a row in
// the store for each entry.
type askers struct {
	mu   sync.Mutex
	seen map[string]asker
}

type asker struct {
	revision uint64
	at       timekeeper.Instant
}

func (askers *askers) note(name string, revision uint64, now timekeeper.Instant) {
	askers.mu.Lock()
	defer askers.mu.Unlock()
	if askers.seen == nil {
		askers.seen = map[string]asker{}
	}
	if _, known := askers.seen[name]; !known && len(askers.seen) >= askerLimit {
		askers.forget(now)
	}
	if len(askers.seen) < askerLimit {
		askers.seen[name] = asker{revision: revision, at: now}
	}
}

// forget drops entries that were not heard of for long; the lock must be held.
func (askers *askers) forget(now timekeeper.Instant) {
	for name, known := range askers.seen {
		if now.Since(known.at) > askerLife {
			delete(askers.seen, name)
		}
	}
}

func (askers *askers) list(now timekeeper.Instant) []*encoder.Asker {
	askers.mu.Lock()
	defer askers.mu.Unlock()
	askers.forget(now)
	list := make([]*encoder.Asker, 0, len(askers.seen))
	for name, known := range askers.seen {
		list = append(list, &encoder.Asker{Name: name, Revision: known.revision, Age: int64(now.Since(known.at))})
	}
	return list
}

// heard notes the revision that a peer carried on a message.
func (agent *Agent) heard(name string, revision uint64) {
	if name == "" || revision == 0 {
		return
	}
	agent.askers.note(name, revision, agent.settings.Clock.Now())
	agent.settings.OnRevision(revision)
}

func (agent *Agent) withAskers(ask *encoder.DigestAsk, digests *encoder.Digests) *encoder.Digests {
	if ask.GetWantAskers() {
		digests.Askers = agent.askers.list(agent.settings.Clock.Now())
	}
	return digests
}
