package imitator

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = 4

// prefixCache is an LRU cache of the hashes of prompt blocks. A block's hash covers all
// blocks before it, so a block is useful only together with its whole prefix.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	// evicted has the blocks evicted since events were last collected.
	evicted []uint64
	// chats has the blocks of each named chat.
	chats map[string][]uint64
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: tokens / blockTokens, order: list.New(), blocks: map[uint64]*list.Element{}, chats: map[string][]uint64{}}
}

// blockHashes returns the hash of each full block of the tokens.
func blockHashes(tokens []string) []uint64 {
	blocks := make([]uint64, 0, len(tokens)/blockTokens)
	digest := xxhash.New()
	for i, token := range tokens {
		_, _ = digest.WriteString(token)
		_, _ = digest.Write([]byte{0})
		if (i+1)%blockTokens == 0 {
			blocks = append(blocks, digest.Sum64())
		}
	}
	return blocks
}

// match returns how many leading blocks are cached, and marks them as recently used.
func (cache *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := cache.blocks[block]
		if !ok {
			return i
		}
		cache.order.MoveToFront(element)
	}
	return len(blocks)
}

// add caches blocks. It inserts them from last to first, so that the tail of a prefix
// is evicted before its head.
func (cache *prefixCache) add(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := cache.blocks[blocks[i]]; ok {
			cache.order.MoveToFront(element)
			continue
		}
		cache.blocks[blocks[i]] = cache.order.PushFront(blocks[i])
	}
	for cache.order.Len() > cache.capacity {
		last := cache.order.Back()
		block, _ := cache.order.Remove(last).(uint64)
		delete(cache.blocks, block)
		cache.evicted = append(cache.evicted, block)
	}
}

// setChat records the blocks of a chat. It removes all chats when there are more of them
// than blocks fit into the cache.
func (cache *prefixCache) setChat(chat string, blocks []uint64) {
	if chat == "" {
		return
	}
	if len(cache.chats) > cache.capacity {
		clear(cache.chats)
	}
	cache.chats[chat] = blocks
}

// release marks blocks as the next to be evicted, their tail first.
func (cache *prefixCache) release(blocks []uint64) {
	for _, block := range blocks {
		cache.order.MoveToBack(cache.blocks[block])
	}
}
