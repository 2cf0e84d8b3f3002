package placer

// DirectorySize is how many chats an agent's directory holds. At 5.5 million
// chats over 3,100 replicas a home has some 1,800 chats, so this leaves room
// for small fleets with few and large replicas, in a few megabytes.
const DirectorySize = 1 << 15

// Directory is what a replica knows of where chats last ran: its own, and
// those whose home it is and that spilled elsewhere. It is soft state: a lost
// or wrong pointer costs one hop or one cold prefix and nothing else.
//
// Its memory is bounded: past its size the chat longest unheard of is
// forgotten. Of the replica's own chats it keeps no more than the engine's
// cache holds, so a chat whose prefix was evicted is not led back to it.
// Engines publish their evictions late and with gaps, so the directory goes by
// what it has seen run. Its caller holds a lock around it.
type Directory struct {
	settings DirectorySettings
	// own are the chats whose prefix is here, and away those known elsewhere. A
	// busy chat may be in both.
	own, away pointerCache
	tokens    int64
}

// DirectorySettings set up a directory.
type DirectorySettings struct {
	// Self is the name of the replica.
	Self string
	// Size is how many chats are known at most; zero means DirectorySize.
	Size int
	// CacheTokens is the memory of the engine's cache; zero means unknown.
	CacheTokens int64
}

// NewDirectory returns an empty directory.
func NewDirectory(settings DirectorySettings) *Directory {
	if settings.Size == 0 {
		settings.Size = DirectorySize
	}
	return &Directory{settings: settings, own: newPointerCache(), away: newPointerCache()}
}

// Record remembers that the chat ran at a replica and left a prefix of so many
// tokens there. Chat zero is no chat.
func (directory *Directory) Record(chat uint64, where string, tokens int64) {
	if chat == 0 || where == "" {
		return
	}
	noted := pointer{chat: chat, where: where, tokens: tokens}
	if where != directory.settings.Self {
		directory.away.put(noted, directory.settings.Size/2)
		return
	}
	directory.tokens -= directory.own.drop(chat).tokens
	directory.tokens += tokens - directory.own.put(noted, directory.settings.Size/2).tokens
	directory.shrink()
}

// shrink forgets the own chats that the cache can't hold, oldest first.
func (directory *Directory) shrink() {
	for directory.settings.CacheTokens > 0 && directory.tokens > directory.settings.CacheTokens {
		directory.tokens -= directory.own.drop(directory.own.oldest()).tokens
	}
}

// Resize takes another size of the engine's cache into force; zero means unknown.
func (directory *Directory) Resize(cacheTokens int64) {
	directory.settings.CacheTokens = cacheTokens
	directory.shrink()
}

// Locate returns a replica that has the chat's prefix, or "". The directory's
// own replica comes first: a busy chat has copies at several, and the one that
// is asked already costs no hop.
func (directory *Directory) Locate(chat uint64) string {
	if _, ok := directory.own.get(chat); ok {
		return directory.settings.Self
	}
	found, _ := directory.away.get(chat)
	return found.where
}

// PrefixMiss reports whether an offer has no prefix here and may still go elsewhere.
func (directory *Directory) PrefixMiss(chat uint64, attempt int) bool {
	return attempt < MaxOffers-1 && directory.Locate(chat) != directory.settings.Self
}

// Len returns how many chats the directory knows.
func (directory *Directory) Len() int {
	return len(directory.own.byChat) + len(directory.away.byChat)
}

// ChatOffer is a chat's offer at a replica, as far as the directory decides it.
type ChatOffer struct {
	Chat uint64
	// Attempt is 0 for the first candidate of the offer.
	Attempt int
	// Ranked are the candidates as the entry ranks them; the first is the home.
	Ranked []string
	// OnlyIfCached says that the offer came for the chat's prefix alone.
	OnlyIfCached bool
	// RecentlyStarted says that the replica started lately, so chats that it doesn't
	// know may have run at the runner-up before.
	RecentlyStarted bool
	// CanFetch says that the replica can fetch a prefix from another.
	CanFetch bool
}

// ShouldRedirect decides whether the offer is better sent on to where its prefix is.
//
// It is made for a fleet in which replicas come and go while chats return: the
// harm is a long prompt that is read again though its prefix lies cached one
// hop away. Three rules, each bounded:
//
//   - A chat known to have run elsewhere goes there, on the first attempt only.
//     When that replica is gone or full, the second visit finds it accepted.
//   - A replica that has just become home doesn't know its chats. The runner-up
//     was their home before, so the offer goes there, while it settles. One that
//     can fetch the prefix takes the offer instead (see Source).
//   - A runner-up that is asked so and doesn't know the chat either sends it
//     back, so that new chats start at their new home.
//
// After two refusals the third candidate takes the chat, so no offer is sent
// around in circles by replicas that disagree.
func (directory *Directory) ShouldRedirect(visit ChatOffer) bool {
	if visit.Chat == 0 || len(visit.Ranked) < 2 {
		return false
	}
	where := directory.Locate(visit.Chat)
	home := visit.Ranked[0] == directory.settings.Self
	switch {
	case visit.OnlyIfCached:
		return where != directory.settings.Self
	case visit.Attempt > 0:
		return false
	case where != "":
		return where != directory.settings.Self && home
	}
	return home && visit.RecentlyStarted && !visit.CanFetch
}

// FetchSource returns the replica that a taken offer's prefix is best fetched from,
// or "" when there is none to ask.
//
// It is made for two loads. A replica that joins stays empty while the former
// home keeps its chats and evicts others for want of memory; so it asks the
// runner-up. And a chat that spilled at the bound reads a long prompt anew
// though its home has it; so it asks the home. One replica is asked, once, and
// its word costs a message where it knows nothing.
func (directory *Directory) FetchSource(visit ChatOffer) string {
	const needed = 2
	if !visit.CanFetch || visit.Chat == 0 || len(visit.Ranked) < needed {
		return ""
	}
	where := directory.Locate(visit.Chat)
	home := visit.Ranked[0] == directory.settings.Self
	switch {
	case where == directory.settings.Self:
		return ""
	case where != "":
		return where
	case !home:
		return visit.Ranked[0]
	case visit.RecentlyStarted:
		return visit.Ranked[1]
	}
	return ""
}

// Fits reports whether the replica's cache takes so many tokens more without
// losing another chat.
func (directory *Directory) Fits(tokens int64) bool {
	return directory.settings.CacheTokens == 0 || directory.tokens+tokens <= directory.settings.CacheTokens
}

// PrefixTokens returns how long the prefix is that the replica has of the chat.
func (directory *Directory) PrefixTokens(chat uint64) int64 {
	found, _ := directory.own.get(chat)
	return found.tokens
}

// Forget forgets a prefix that the engine turned out not to have. Engines tell of
// evictions late and with gaps; what they answer when asked is what repairs.
func (directory *Directory) Forget(chat uint64) {
	directory.tokens -= directory.own.drop(chat).tokens
}

// RecordTransfer forgets that the chat's prefix is here: it went to the replica that
// fetched it, and the copy here is the next to be evicted.
func (directory *Directory) RecordTransfer(chat uint64, where string) {
	directory.Forget(chat)
	directory.Record(chat, where, 0)
}

// Move says what a leaving replica gives away of a chat.
type Move struct {
	Chat   uint64
	Tokens int64
	// To are the chat's home among the rest and the runners-up, which take the
	// prefix when the home has no room for it.
	To []Replica
	// Holder is the replica that has the prefix; "" means the leaving one, so
	// that the prefix itself goes along.
	Holder string
}

// Handover decides what a leaving replica gives away: the chats that ran here,
// latest first, and then its pointers, each to the chat's home among the rest.
// The limit bounds what a drain adds to the network and to the caches that take
// it; the chats used last are the likeliest to return soon.
func (directory *Directory) Handover(rest Roster, limit int) []Move {
	var moves []Move
	for _, kept := range []pointerCache{directory.own, directory.away} {
		for element := kept.byUsage.Front(); element != nil && len(moves) < limit; element = element.Next() {
			pointer := element.Value.(pointer)
			ranked := rest.Rank(pointer.chat, MaxOffers)
			if len(ranked) == 0 {
				return nil
			}
			move := Move{Chat: pointer.chat, Tokens: pointer.tokens, To: ranked}
			if pointer.where != directory.settings.Self {
				move.Holder = pointer.where
			}
			moves = append(moves, move)
		}
	}
	return moves
}
