// Package relayer proxies requests from an entry directly to replicas, without
// an agent in between: it reads the request, finds its route and team, asks
// package balancer for a replica, and relays the answer.
//
// It guarantees callers:
//
//   - a refusal (503) means that the request has not run and never will;
//   - a request that must run at most once is retried only after proof that it
//     did not run: no byte of it was sent, or the replica stated so;
//   - a truncated answer never looks complete;
//   - when a caller disconnects, its request is cancelled at the replica.
//
// A resumable stream whose replica fails continues at another replica within
// the same answer. Only whole events are forwarded, so it resumes after the
// last event that the caller has.
package relayer
