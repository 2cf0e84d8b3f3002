package load

import "container/list"

// cache is a cache of chat prefixes, bounded in tokens.
type cache struct {
	tokenCapacity, used int64
	byChat              map[uint64]*list.Element
	byUsage             *list.List
}

type prefix struct {
	chat   uint64
	tokens int64
}

func newCache(tokenCapacity int64) *cache {
	return &cache{tokenCapacity: tokenCapacity, byChat: map[uint64]*list.Element{}, byUsage: list.New()}
}

func (cache *cache) tokens(chat uint64) int64 {
	if element := cache.byChat[chat]; element != nil {
		return element.Value.(prefix).tokens
	}
	return 0
}

func (cache *cache) put(chat uint64, tokens int64) {
	cache.drop(chat)
	if chat == 0 {
		return
	}
	cache.byChat[chat] = cache.byUsage.PushFront(prefix{chat, tokens})
	cache.used += tokens
	for cache.used > cache.tokenCapacity {
		cache.drop(cache.byUsage.Back().Value.(prefix).chat)
	}
}

// demote makes the chat's prefix the next one to be evicted.
func (cache *cache) demote(chat uint64) {
	if element := cache.byChat[chat]; element != nil {
		cache.byUsage.MoveToBack(element)
	}
}

func (cache *cache) drop(chat uint64) {
	if element := cache.byChat[chat]; element != nil {
		cache.used -= element.Value.(prefix).tokens
		cache.byUsage.Remove(element)
		delete(cache.byChat, chat)
	}
}
