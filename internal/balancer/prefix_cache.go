package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// cacheShare is the part of an engine's memory that cached parts are
	// believed to keep; the rest is left to running requests.
	cacheShare = 0.75
	// mostParts bounds the parts that are remembered of one replica: 4,096 of
	// them take about 200 KB, computed at 48 bytes each.
	mostParts = 4096
)

// prefixCache is a guess of what an engine has cached: the parts of the
// requests that were sent there, least recently used first out. It is a hint;
// being wrong costs a prompt that is read again.
type prefixCache struct {
	capacity int
	tokens   int
	parts    map[uint64]cachedPart
}

type cachedPart struct {
	tokens int
	used   timekeeper.Instant
}

func newPrefixCache(memoryTokens int) *prefixCache {
	return &prefixCache{capacity: capacityOf(memoryTokens), parts: map[uint64]cachedPart{}}
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
	for len(cache.parts) > 0 && (cache.tokens > cache.capacity || len(cache.parts) > mostParts) {
		cache.evict()
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
