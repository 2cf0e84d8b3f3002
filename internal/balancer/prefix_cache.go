package balancer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// cacheShare is the share of an engine's memory that cached parts are assumed to keep;
	// running requests take the rest.
	cacheShare = 0.75
	// maxPartsPerReplica limits the parts that are remembered for one replica.
	maxPartsPerReplica = 4096
	// DefaultKnownParts limits the parts that are remembered for all replicas together. Each
	// replica has an equal share. At some 52 bytes a part they take 14 MB, however many engines
	// there are.
	DefaultKnownParts = 64 * maxPartsPerReplica
	// minPartsPerReplica is the least share of a replica: the parts of a few dozen requests,
	// which is enough for requests that return within seconds to find their engine.
	minPartsPerReplica = 64
)

// prefixCache is an estimate of what an engine has cached: the parts of the requests that were
// sent to it, evicted in least-recently-used order. It is a hint; an error costs one repeated
// prefill.
type prefixCache struct {
	// capacity is in tokens, maxParts in parts.
	capacity, maxParts int
	tokens             int
	parts              map[uint64]cachedPart
}

type cachedPart struct {
	tokens int
	used   timekeeper.Instant
}

func newPrefixCache(memoryTokens, maxParts int) *prefixCache {
	return &prefixCache{capacity: capacityOf(memoryTokens), maxParts: maxParts, parts: map[uint64]cachedPart{}}
}

// partsPerReplica returns how many parts may be remembered for each replica.
func partsPerReplica(total, replicas int) int {
	return min(maxPartsPerReplica, max(minPartsPerReplica, total/max(1, replicas)))
}

func capacityOf(memoryTokens int) int { return int(cacheShare * float64(memoryTokens)) }

// uncached returns how many tokens of a prompt the engine has to prefill. A part counts as
// cached only if all parts before it are.
func (cache *prefixCache) uncached(parts []Part) int {
	for i, part := range parts {
		if _, found := cache.parts[part.ID]; !found {
			return TokensOf(parts[i:])
		}
	}
	return 0
}

// touch records that the engine has processed or reused the parts.
func (cache *prefixCache) touch(parts []Part, now timekeeper.Instant) {
	for _, part := range parts {
		if cached, found := cache.parts[part.ID]; found {
			cache.tokens -= cached.tokens
		}
		cache.parts[part.ID] = cachedPart{tokens: part.Tokens, used: now}
		cache.tokens += part.Tokens
	}
	for len(cache.parts) > 0 && cache.tokens > cache.capacity {
		cache.evict()
	}
	if len(cache.parts) > cache.maxParts {
		cache.trim()
	}
}

// trimShare is the share of its parts that a full cache drops at once. Finding the oldest of
// 4,096 parts takes some 50 us, too long for each request.
const trimShare = 0.125

// trim drops the least recently used parts, and more of them than necessary.
func (cache *prefixCache) trim() {
	oldest := slices.SortedFunc(maps.Keys(cache.parts), func(a, b uint64) int {
		return cmp.Compare(cache.parts[a].used, cache.parts[b].used)
	})
	kept := int((1 - trimShare) * float64(cache.maxParts))
	for _, id := range oldest[:len(oldest)-kept] {
		cache.tokens -= cache.parts[id].tokens
		delete(cache.parts, id)
	}
}

func (cache *prefixCache) evict() {
	var oldest uint64
	first := true
	for id, part := range cache.parts {
		if first || part.used < cache.parts[oldest].used {
			oldest, first = id, false
		}
	}
	cache.tokens -= cache.parts[oldest].tokens
	delete(cache.parts, oldest)
}

// TokensOf returns the number of tokens in prompt parts.
func TokensOf(parts []Part) int {
	total := 0
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}
