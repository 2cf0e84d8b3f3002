package placer

import "container/list"

// pointer records which replica a chat last ran on.
type pointer struct {
	chat    uint64
	replica string
	tokens  int64
}

// pointerCache holds pointers in the order of their last use.
type pointerCache struct {
	byChat map[uint64]*list.Element
	byUse  *list.List
}

func newPointerCache() pointerCache {
	return pointerCache{byChat: map[uint64]*list.Element{}, byUse: list.New()}
}

func (cache pointerCache) get(chat uint64) (pointer, bool) {
	element := cache.byChat[chat]
	if element == nil {
		return pointer{}, false
	}
	return element.Value.(pointer), true
}

// put replaces the chat's pointer, and returns the pointer that it evicted to
// stay within limit.
func (cache pointerCache) put(added pointer, limit int) pointer {
	cache.remove(added.chat)
	cache.byChat[added.chat] = cache.byUse.PushFront(added)
	if len(cache.byChat) > limit {
		return cache.remove(cache.oldest())
	}
	return pointer{}
}

// remove removes a chat's pointer and returns it.
func (cache pointerCache) remove(chat uint64) pointer {
	removed, ok := cache.get(chat)
	if ok {
		cache.byUse.Remove(cache.byChat[chat])
		delete(cache.byChat, chat)
	}
	return removed
}

// oldest returns the least recently used chat; the cache must not be empty.
func (cache pointerCache) oldest() uint64 {
	return cache.byUse.Back().Value.(pointer).chat
}
