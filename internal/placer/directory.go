package placer

import "container/list"

// DirectorySize is how many chats an agent's directory holds. At 5.5 million
// chats over 3,100 replicas a home has some 1,800 chats, so this leaves room
// for small fleets with few and large replicas, in a few megabytes.
const DirectorySize = 1 << 15

// Directory is what a replica knows of where chats last ran: its own, and
// those whose home it is and that spilled elsewhere. It is soft state: a lost
// or wrong pointer costs one hop or one cold prefix and nothing else.
//
// Its memory is bounded: past its size the chat longest unheard of is
// forgotten. Its caller holds a lock around it.
type Directory struct {
	size    int
	byChat  map[uint64]*list.Element
	byUsage *list.List
}

// pointer says where a chat last ran.
type pointer struct {
	chat  uint64
	where string
}

// NewDirectory returns an empty directory of a positive size.
func NewDirectory(size int) *Directory {
	return &Directory{size: size, byChat: map[uint64]*list.Element{}, byUsage: list.New()}
}

// Note remembers that the chat ran at a replica. Chat zero is no chat.
func (directory *Directory) Note(chat uint64, where string) {
	if chat == 0 || where == "" {
		return
	}
	if element := directory.byChat[chat]; element != nil {
		element.Value = pointer{chat: chat, where: where}
		directory.byUsage.MoveToFront(element)
		return
	}
	directory.byChat[chat] = directory.byUsage.PushFront(pointer{chat: chat, where: where})
	if len(directory.byChat) > directory.size {
		directory.Forget(directory.byUsage.Back().Value.(pointer).chat)
	}
}

// Forget drops what is known of a chat.
func (directory *Directory) Forget(chat uint64) {
	if element := directory.byChat[chat]; element != nil {
		directory.byUsage.Remove(element)
		delete(directory.byChat, chat)
	}
}

// Where returns the replica that the chat last ran at, or "".
func (directory *Directory) Where(chat uint64) string {
	if element := directory.byChat[chat]; element != nil {
		return element.Value.(pointer).where
	}
	return ""
}

// Len returns how many chats the directory knows.
func (directory *Directory) Len() int {
	return len(directory.byChat)
}

// Visit is a chat's offer at a replica, as far as the directory decides it.
type Visit struct {
	Chat uint64
	// Self is the replica that decides.
	Self string
	// Attempt is 0 for the first candidate of the offer.
	Attempt int
	// Ranked are the candidates as the entry ranks them; the first is the home.
	Ranked []string
	// Seek says that the offer came for the chat's prefix alone.
	Seek bool
	// Settling says that the replica started lately, so chats that it doesn't
	// know may have run at the runner-up before.
	Settling bool
}

// Moved decides whether the offer is better sent on to where its prefix is.
//
// It is made for a fleet in which replicas come and go while chats return: the
// harm is a long prompt that is read again though its prefix lies cached one
// hop away. Three rules, each bounded:
//
//   - A chat known to have run elsewhere goes there, on the first attempt only.
//     When that replica is gone or full, the second visit finds it accepted.
//   - A replica that has just become home doesn't know its chats. The runner-up
//     was their home before, so the offer goes there, while it settles.
//   - A runner-up that is asked so and doesn't know the chat either sends it
//     back, so that new chats start at their new home.
//
// After two refusals the third candidate takes the chat, so no offer is sent
// around in circles by replicas that disagree.
func (directory *Directory) Moved(visit Visit) bool {
	if visit.Chat == 0 || len(visit.Ranked) < 2 {
		return false
	}
	where := directory.Where(visit.Chat)
	home := visit.Ranked[0] == visit.Self
	switch {
	case visit.Seek:
		return where != visit.Self
	case visit.Attempt > 0:
		return false
	case where != "":
		return where != visit.Self && home
	}
	return home && visit.Settling
}
