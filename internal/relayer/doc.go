// Package relayer is an entry's side of a call that it sends to a replica
// itself, without an agent in between: it reads the request, finds its route
// and team, asks package balancer for a replica, and relays the answer.
//
// What a caller may rely on:
//
//   - a refusal (503) means that the request has not run and never will;
//   - a request that must not repeat is sent again only after proof that it did
//     not run: no byte of it left, or the replica said so;
//   - an answer that broke off never looks complete;
//   - a caller who leaves takes the request away from the replica.
//
// A stream that may be resumed goes on at another replica within one answer.
// Only whole events are passed on, so it goes on behind the last one.
package relayer
