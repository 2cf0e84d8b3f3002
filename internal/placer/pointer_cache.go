package placer

import "container/list"

// pointer says where a chat last ran.
type pointer struct {
	chat   uint64
	where  string
	tokens int64
}

// pointerCache holds pointers in the order of their last use.
type pointerCache struct {
	byChat  map[uint64]*list.Element
	byUsage *list.List
}

func newPointerCache() pointerCache {
	return pointerCache{byChat: map[uint64]*list.Element{}, byUsage: list.New()}
}

func (cache pointerCache) get(chat uint64) (pointer, bool) {
	element := cache.byChat[chat]
	if element == nil {
		return pointer{}, false
	}
	return element.Value.(pointer), true
}

// put adds a pointer in place of the chat's earlier one, and returns what it
// dropped to stay within limit.
func (cache pointerCache) put(noted pointer, limit int) pointer {
	cache.drop(noted.chat)
	cache.byChat[noted.chat] = cache.byUsage.PushFront(noted)
	if len(cache.byChat) > limit {
		return cache.drop(cache.oldest())
	}
	return pointer{}
}

// drop takes out a chat's pointer and returns it.
func (cache pointerCache) drop(chat uint64) pointer {
	gone, ok := cache.get(chat)
	if ok {
		cache.byUsage.Remove(cache.byChat[chat])
		delete(cache.byChat, chat)
	}
	return gone
}

// oldest returns the chat that was used longest ago; the cache must not be empty.
func (cache pointerCache) oldest() uint64 {
	return cache.byUsage.Back().Value.(pointer).chat
}
