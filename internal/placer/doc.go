// Package placer decides which replica a chat runs on.
//
// # Ranking
//
// A Roster ranks the replicas of a service for a chat by multi-probe
// consistent hashing (Appleton and O'Reilly, 2015). Every replica has a few
// points on a ring of 64-bit hashes, and every chat a few probes. A replica's
// distance to a chat is the shortest way along the ring from any of the probes
// to any of the replica's points. The nearest replica is the chat's home, and
// the next ones are the runners-up.
//
// A distance depends on the replica and the chat alone, as a score does in
// rendezvous hashing (Thaler and Ravishankar, 1998), so the two properties of
// rendezvous hashing hold exactly: when a replica leaves, only its own chats
// move, each to its runner-up; and when one joins, the previous home of each chat
// that moves becomes its runner-up. Rendezvous hashing scores every replica; here
// looking up the probes finds the nearest ones, at a cost that doesn't grow with
// the number of replicas.
//
// # Locating
//
// A Directory at each agent records where chats last ran, in bounded memory. An
// AttemptPlan at the entry orders the offers of a call by the ranking and by the
// hints in refusals.
//
// The package is decision logic: no I/O, no goroutines, no clock.
package placer
