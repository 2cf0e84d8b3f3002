// Package reporter keeps each process's view of the replicas of every service:
// which are live, which are leaving and how loaded each one is.
//
// All of it is soft state. An agent is the authority on its own replica: its
// digests are ordered by incarnation and sequence, and the newest one wins,
// whichever peer delivers it. The platform's instance list lags, so it adds
// replicas, provides sites and addresses and marks leaving replicas, but never makes
// a replica dead, and one that it omits keeps the state of its digests.
//
// In each round an agent exchanges digests with a random peer of its service, as
// in anti-entropy (Demers and others, "Epidemic Algorithms for Replicated
// Database Maintenance", 1987): an update reaches n agents in about log n rounds,
// and the cost for each agent doesn't grow with n. An entry asks one agent of
// each service for changes. The silence after which a replica counts as dead
// scales with the ages seen across its service, as in accrual failure detection
// (Hayashibara and others, 2004), so that a slow network doesn't make replicas
// count as dead.
//
// Table holds the replicas of one service and does no I/O; View holds all tables
// of a process; Exchanger does the I/O with peers.
package reporter
