package placer

import "container/list"

// pointer says where a chat last ran.
type pointer struct {
	chat   uint64
	where  string
	tokens int64
}

// shelf holds pointers in the order of their last use.
type shelf struct {
	byChat  map[uint64]*list.Element
	byUsage *list.List
}

func newShelf() shelf {
	return shelf{byChat: map[uint64]*list.Element{}, byUsage: list.New()}
}

func (shelf shelf) get(chat uint64) (pointer, bool) {
	element := shelf.byChat[chat]
	if element == nil {
		return pointer{}, false
	}
	return element.Value.(pointer), true
}

// put adds a pointer in place of the chat's earlier one, and returns what it
// dropped to stay within limit.
func (shelf shelf) put(noted pointer, limit int) pointer {
	shelf.drop(noted.chat)
	shelf.byChat[noted.chat] = shelf.byUsage.PushFront(noted)
	if len(shelf.byChat) > limit {
		return shelf.drop(shelf.oldest())
	}
	return pointer{}
}

// drop takes out a chat's pointer and returns it.
func (shelf shelf) drop(chat uint64) pointer {
	gone, ok := shelf.get(chat)
	if ok {
		shelf.byUsage.Remove(shelf.byChat[chat])
		delete(shelf.byChat, chat)
	}
	return gone
}

// oldest returns the chat that was used longest ago; the shelf must not be empty.
func (shelf shelf) oldest() uint64 {
	return shelf.byUsage.Back().Value.(pointer).chat
}
