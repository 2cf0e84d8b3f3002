// Package gossiper lets entries tell each other, some times a second, what they
// have under way at each replica, which prompts they sent where, and which
// replicas take no connections.
//
// Digests are datagrams: each replaces the one before it, so a lost one is made
// good by the next, and a peer that hangs holds up nobody. Everything in them is
// soft state; the worst that follows from a wrong or missing digest is a prompt
// that is read twice or a replica that is a little fuller than its share.
//
// A digest also tells whether the store fails, and those of entries that read the store
// for all tell what a reading has changed and how the list of replicas is.
//
// Every entry sends to every other. The bytes a second are bounded by a budget:
// with more peers or more to say, digests come less often, and each says when
// the next is due. Peers are found in the platform's store at the start, and by
// hearing of them; after that the store isn't needed.
package gossiper
