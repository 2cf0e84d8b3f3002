package placer

// DirectorySize is how many chats an agent's directory holds. At 5.5 million
// chats over 3,100 replicas a replica is home to some 1,800 chats; the rest is
// for small fleets with few large replicas. The memory is a few megabytes.
const DirectorySize = 1 << 15

// Directory records where chats last ran: the replica's own chats, and those
// whose home it is and that ran on another replica. It is soft state: a lost or
// wrong pointer costs one hop or a full prefill of the prompt.
//
// Its memory is bounded: local and remote chats have half of Size each, and
// beyond that the chat that was recorded longest ago is evicted. It keeps no more
// of the replica's own chats than fit into the engine's cache, so a chat whose
// prefix was evicted isn't routed back to it. Engines publish their evictions
// late and incompletely, so the directory relies on the calls that ran. Its
// caller must hold a lock around it.
type Directory struct {
	settings DirectorySettings
	// local are the chats whose prefix is cached here, and remote those whose prefix
	// another replica is known to cache. A busy chat may be in both.
	local, remote pointerCache
	// tokens is the length of all local prefixes.
	tokens int64
}

// DirectorySettings configures a directory.
type DirectorySettings struct {
	// Self is the name of the replica.
	Self string
	// Size is the maximum number of chats; zero means DirectorySize.
	Size int
	// CacheTokens is the size of the engine's cache; zero means unknown.
	CacheTokens int64
}

// NewDirectory returns an empty directory.
func NewDirectory(settings DirectorySettings) *Directory {
	if settings.Size == 0 {
		settings.Size = DirectorySize
	}
	return &Directory{settings: settings, local: newPointerCache(), remote: newPointerCache()}
}

// Record records that the chat ran on a replica and left a prefix of so many
// tokens there. A chat of zero means that the call belongs to no chat; it and an
// empty replica name are ignored.
func (directory *Directory) Record(chat uint64, replica string, tokens int64) {
	if chat == 0 || replica == "" {
		return
	}
	recorded := pointer{chat: chat, replica: replica, tokens: tokens}
	if replica != directory.settings.Self {
		directory.remote.put(recorded, directory.settings.Size/2)
		return
	}
	directory.tokens -= directory.local.remove(chat).tokens
	directory.tokens += tokens - directory.local.put(recorded, directory.settings.Size/2).tokens
	directory.evict()
}

// evict removes the oldest local chats until the rest fits into the engine's cache.
func (directory *Directory) evict() {
	for directory.settings.CacheTokens > 0 && directory.tokens > directory.settings.CacheTokens {
		directory.tokens -= directory.local.remove(directory.local.oldest()).tokens
	}
}

// Resize sets the size of the engine's cache; zero means unknown.
func (directory *Directory) Resize(cacheTokens int64) {
	directory.settings.CacheTokens = cacheTokens
	directory.evict()
}

// Locate returns a replica that caches the chat's prefix, or "". It prefers the
// directory's own replica: a busy chat is cached by several, and the own replica
// costs no hop.
func (directory *Directory) Locate(chat uint64) string {
	if _, ok := directory.local.get(chat); ok {
		return directory.settings.Self
	}
	found, _ := directory.remote.get(chat)
	return found.replica
}

// PrefixMiss reports whether an offer has no prefix here and may still go to
// another replica.
func (directory *Directory) PrefixMiss(chat uint64, attempt int) bool {
	return attempt < MaxOffers-1 && directory.Locate(chat) != directory.settings.Self
}

// Len returns the number of chats in the directory.
func (directory *Directory) Len() int {
	return len(directory.local.byChat) + len(directory.remote.byChat)
}

// ChatOffer holds the fields of an offer that the directory's decisions depend on.
type ChatOffer struct {
	Chat uint64
	// Attempt is 0 for the first candidate of the offer.
	Attempt int
	// Ranked are the candidates as the entry ranks them; the first is the home.
	Ranked []string
	// OnlyIfCached is true if the replica should take the offer only when it caches
	// the chat's prefix.
	OnlyIfCached bool
	// RecentlyStarted is true if the replica started a short time ago, so that chats
	// missing from its directory may have run on the runner-up before.
	RecentlyStarted bool
	// CanFetch is true if the replica can fetch a prefix from another one.
	CanFetch bool
}

// ShouldRedirect reports whether this replica should refuse the offer so that the
// entry sends it to another one, which probably caches its prefix or is its home.
//
// It avoids the prefill of a long prompt whose prefix is cached one hop away, in
// a fleet whose replicas come and go while chats return. Each of the three rules
// is bounded:
//
//   - A chat that last ran on another replica goes there, on the first attempt
//     only. If that replica is gone or full, this one takes the chat when it is
//     offered again.
//   - A replica that has just become the home doesn't know its chats. The
//     runner-up was their home before, so the offer goes there while
//     RecentlyStarted is set. If the home can fetch the prefix it takes the offer
//     instead (see FetchSource).
//   - A runner-up that gets an offer with OnlyIfCached and doesn't cache the prefix
//     redirects it: to the replica that the chat last ran on if it knows one, and
//     otherwise to the home, so that new chats start there.
//
// After two refusals the third candidate takes the chat, so that an offer can't
// circle between replicas with different directories.
func (directory *Directory) ShouldRedirect(offer ChatOffer) bool {
	if offer.Chat == 0 || len(offer.Ranked) < 2 {
		return false
	}
	holder := directory.Locate(offer.Chat)
	home := offer.Ranked[0] == directory.settings.Self
	switch {
	case offer.OnlyIfCached:
		return holder != directory.settings.Self
	case offer.Attempt > 0:
		return false
	case holder != "":
		return holder != directory.settings.Self && home
	}
	return home && offer.RecentlyStarted && !offer.CanFetch
}

// FetchSource returns the replica from which to fetch the prefix of an accepted
// offer, or "" if there is none.
//
// The source is the known holder. If none is known there are two cases. A replica
// that joins would stay empty while the former home keeps its chats and evicts
// others for lack of memory, so its source is the runner-up. And a chat that its
// home refused at the bound would prefill a long prompt on the replica that takes
// it, though the home caches the prefix, so that replica's source is the home. The
// replica asks only this source, and the holder that the source names, if any; a
// source that neither has the prefix nor names a holder costs one message.
func (directory *Directory) FetchSource(offer ChatOffer) string {
	const minRanked = 2
	if !offer.CanFetch || offer.Chat == 0 || len(offer.Ranked) < minRanked {
		return ""
	}
	holder := directory.Locate(offer.Chat)
	home := offer.Ranked[0] == directory.settings.Self
	switch {
	case holder == directory.settings.Self:
		return ""
	case holder != "":
		return holder
	case !home:
		return offer.Ranked[0]
	case offer.RecentlyStarted:
		return offer.Ranked[1]
	}
	return ""
}

// Fits reports whether the replica's cache has room for so many more tokens
// without evicting another chat.
func (directory *Directory) Fits(tokens int64) bool {
	return directory.settings.CacheTokens == 0 || directory.tokens+tokens <= directory.settings.CacheTokens
}

// PrefixTokens returns the length of the chat's prefix on this replica.
func (directory *Directory) PrefixTokens(chat uint64) int64 {
	found, _ := directory.local.get(chat)
	return found.tokens
}

// ForgetLocal removes the chat's local pointer, since the engine doesn't have the
// prefix. Engines publish evictions late and incompletely, so the directory is
// corrected when a request to the engine shows that a prefix is missing.
func (directory *Directory) ForgetLocal(chat uint64) {
	directory.tokens -= directory.local.remove(chat).tokens
}

// RecordTransfer replaces the chat's local pointer by one to the replica that
// fetched its prefix, since the copy here is the next to be evicted.
func (directory *Directory) RecordTransfer(chat uint64, replica string) {
	directory.ForgetLocal(chat)
	directory.Record(chat, replica, 0)
}

// Move is a chat that a leaving replica hands over.
type Move struct {
	Chat   uint64
	Tokens int64
	// To are the chat's home among the remaining replicas and its runners-up, which
	// take the prefix if the home has no room for it.
	To []Replica
	// Holder is the replica that caches the prefix; "" means the leaving one, so
	// that the prefix itself is handed over and not a pointer.
	Holder string
}

// Handover returns what a leaving replica hands over: the chats that ran here,
// most recent first, and then its pointers, each to the chat's home among the
// remaining replicas. The limit bounds the load that a drain puts on the network
// and on the caches of the receivers; recent chats are the likeliest to return
// soon.
func (directory *Directory) Handover(rest Roster, limit int) []Move {
	var moves []Move
	for _, cache := range []pointerCache{directory.local, directory.remote} {
		for element := cache.byAge.Front(); element != nil && len(moves) < limit; element = element.Next() {
			pointer := element.Value.(pointer)
			ranked := rest.Rank(pointer.chat, MaxOffers)
			if len(ranked) == 0 {
				return nil
			}
			move := Move{Chat: pointer.chat, Tokens: pointer.tokens, To: ranked}
			if pointer.replica != directory.settings.Self {
				move.Holder = pointer.replica
			}
			moves = append(moves, move)
		}
	}
	return moves
}
