package balancer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// cacheShare is the part of an engine's memory that cached parts are
	// believed to keep; the rest is left to running requests.
	cacheShare = 0.75
	// mostParts bounds the parts that are remembered of one replica.
	mostParts = 4096
	// DefaultKnownParts bounds the parts that are remembered of all replicas together:
	// each has an equal share. At some 52 bytes a part they take 14 MB, however many
	// engines there are.
	DefaultKnownParts = 64 * mostParts
	// leastParts is the least share of a replica: the parts of a few dozen requests, by
	// which those that come again within seconds find their engine.
	leastParts = 64
)

// prefixCache is a guess of what an engine has cached: the parts of the
// requests that were sent there, least recently used first out. It is a hint;
// being wrong costs a prompt that is read again.
type prefixCache struct {
	// capacity is in tokens, most in parts.
	capacity, most int
	tokens         int
	parts          map[uint64]cachedPart
}

type cachedPart struct {
	tokens int
	used   timekeeper.Instant
}

func newPrefixCache(memoryTokens, most int) *prefixCache {
	return &prefixCache{capacity: capacityOf(memoryTokens), most: most, parts: map[uint64]cachedPart{}}
}

// shareOfParts returns how many parts may be remembered of each of some replicas.
func shareOfParts(known, replicas int) int {
	return min(mostParts, max(leastParts, known/max(1, replicas)))
}

func capacityOf(memoryTokens int) int { return int(cacheShare * float64(memoryTokens)) }

// uncached returns how many tokens of a prompt the engine has to read: a part
// counts as cached only if all parts before it are.
func (cache *prefixCache) uncached(parts []Part) int {
	for i, part := range parts {
		if _, found := cache.parts[part.ID]; !found {
			return TokensOf(parts[i:])
		}
	}
	return 0
}

// touch notes that the engine has read or used the parts.
func (cache *prefixCache) touch(parts []Part, now timekeeper.Instant) {
	for _, part := range parts {
		if known, found := cache.parts[part.ID]; found {
			cache.tokens -= known.tokens
		}
		cache.parts[part.ID] = cachedPart{tokens: part.Tokens, used: now}
		cache.tokens += part.Tokens
	}
	for len(cache.parts) > 0 && cache.tokens > cache.capacity {
		cache.evict()
	}
	if len(cache.parts) > cache.most {
		cache.trim()
	}
}

// trimShare is the part of the parts that a full cache drops at once: finding the oldest
// of 4,096 takes some 50 us, too long for each request.
const trimShare = 0.125

// trim drops the parts that were used longest ago, and some more than it has to.
func (cache *prefixCache) trim() {
	oldest := slices.SortedFunc(maps.Keys(cache.parts), func(a, b uint64) int {
		return cmp.Compare(cache.parts[a].used, cache.parts[b].used)
	})
	kept := int((1 - trimShare) * float64(cache.most))
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

// TokensOf returns the length of prompt parts.
func TokensOf(parts []Part) int {
	total := 0
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}
