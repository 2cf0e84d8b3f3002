// Package reporter keeps what a process believes about the replicas of each
// service: who is live, who is leaving, and how loaded each is.
//
// All of it is soft state. An agent is the authority about itself: its digests
// are ordered by incarnation and sequence, and the newest wins whoever brings
// it. The platform's instance list lags, so it only gives addresses and names
// to start from.
//
// Agents of one service exchange digests with a random peer in each round, in
// the manner of anti-entropy (Demers and others, "Epidemic Algorithms for
// Replicated Database Maintenance", 1987): news reaches n agents in about
// log n rounds, at a cost for each agent that doesn't grow with n. An entry
// asks one agent of each service for what has changed. Silence is judged
// against the service's median age, as in accrual failure detection
// (Hayashibara and others, 2004), so that a slow network kills nobody.
//
// Table is the aggregate and has no I/O; View holds the tables of a process;
// Exchanger is the shell that speaks to peers.
package reporter
