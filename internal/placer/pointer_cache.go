package placer

import "container/list"

// pointer records which replica a chat last ran on.
type pointer struct {
	chat    uint64
	replica string
	tokens  int64
}

// pointerCache holds pointers in the order in which they were stored, newest first.
type pointerCache struct {
	byChat map[uint64]*list.Element
	byAge  *list.List
}

func newPointerCache() pointerCache {
	return pointerCache{byChat: map[uint64]*list.Element{}, byAge: list.New()}
}

func (cache pointerCache) get(chat uint64) (pointer, bool) {
	element := cache.byChat[chat]
	if element == nil {
		return pointer{}, false
	}
	return element.Value.(pointer), true
}

// put stores the pointer in place of the chat's earlier one, if any, and returns
// the pointer that it evicted to stay within limit.
func (cache pointerCache) put(added pointer, limit int) pointer {
	cache.remove(added.chat)
	cache.byChat[added.chat] = cache.byAge.PushFront(added)
	if len(cache.byChat) > limit {
		return cache.remove(cache.oldest())
	}
	return pointer{}
}

// remove removes a chat's pointer and returns it.
func (cache pointerCache) remove(chat uint64) pointer {
	removed, ok := cache.get(chat)
	if ok {
		cache.byAge.Remove(cache.byChat[chat])
		delete(cache.byChat, chat)
	}
	return removed
}

// oldest returns the chat whose pointer was stored longest ago; the cache must not be empty.
func (cache pointerCache) oldest() uint64 {
	return cache.byAge.Back().Value.(pointer).chat
}
