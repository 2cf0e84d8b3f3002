// Package placer decides where a chat runs.
//
// # Ranking
//
// A Roster ranks the replicas of a service for a chat by multi-probe
// consistent hashing (Appleton and O'Reilly, 2015). Every replica has a few
// points on a ring of 64-bit hashes, and every chat a few probes. A replica's
// distance to a chat is the least way from any of the probes on to any of the
// replica's points. The nearest replica is the chat's home, and the next ones
// are the runners-up.
//
// A distance depends on the replica and the chat alone, as a score does in
// rendezvous hashing (Thaler and Ravishankar, 1998). So the two properties of
// rendezvous hold exactly: when a replica leaves, only its own chats move, each
// to its runner-up; and when one joins, the previous home of each chat that
// moves is the new runner-up. But the nearest replicas are found by looking up
// the probes, whatever the number of replicas, where rendezvous scores each.
//
// # Finding
//
// A Directory at each agent remembers where chats last ran, in bounded memory.
// An AttemptPlan at the entry leads an offer along the ranking and the hints
// that refusals carry.
//
// The package is decision logic: no I/O, no goroutines, no clock.
package placer
