// Package placer ranks the replicas of a service for a chat.
//
// Ranking is rendezvous hashing (Thaler and Ravishankar, 1998): each replica
// gets a score from its own hash and that of the chat, and the order of scores
// is the ranking. The first is the chat's home. When a replica leaves, only
// its own chats move, each to its runner-up; when one joins, the previous home
// of every chat that moves is exactly the new runner-up.
//
// The package is decision logic: no I/O, no goroutines, no clock.
package placer
