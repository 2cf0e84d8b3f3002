package simulator

import (
	"math"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
)

// transferSetup is the fixed time of a transfer, in milliseconds.
const transferSetup = 2.0

// transferablePrefix returns how many leading shared parts of a prompt the engine can
// transfer to another: those that are cached, or none if its transfers fail.
func (engine *engine) transferablePrefix(parts []balancer.Part) int {
	if engine.transfersFail {
		return 0
	}
	for i, part := range balancer.SharedParts(parts) {
		if _, found := engine.cached[part.ID]; !found {
			return i
		}
	}
	return len(parts) - 1
}

// fetch copies the parts of a prompt that the source has cached and the engine lacks
// into the engine's memory, and returns when the transfer ends. Transfers on the link
// of either engine run one after another. If the source has nothing or has failed, the
// transfer still takes the setup time.
func (engine *engine) fetch(parts []balancer.Part, source *engine, now float64) float64 {
	tokens := 0
	var missing []balancer.Part
	for _, part := range parts[:source.transferablePrefix(parts)] {
		if _, found := engine.cached[part.ID]; !found {
			tokens += part.Tokens
			missing = append(missing, part)
		}
	}
	start := math.Max(now, math.Max(engine.linkFreeAt, source.linkFreeAt))
	end := start + transferSetup + float64(tokens)*engine.settings.TokenBytes/engine.settings.LinkRate
	engine.linkFreeAt, source.linkFreeAt = end, end
	for _, part := range missing {
		engine.cached[part.ID] = &cachedPart{tokens: part.Tokens, lastUsed: end}
		engine.used += part.Tokens
	}
	engine.fetched += tokens
	for engine.used > engine.settings.Memory && engine.evict(end) {
		continue
	}
	return end
}
