// Package claimer binds each Idempotency-Key to the one agent incarnation that
// may run its call.
//
// A call that may not repeat and carries a key is claimed before it runs: a
// row in the platform's table, keyed by team, service and key, inserted by
// compare-and-set, names the agent, its incarnation and the request. The row
// has no lease that another agent could take over, because the holder of a
// lapsed lease may be paused and still acting (Gray and Cheriton, "Leases",
// 1989, and every pause since): a key whose owner is gone has an unknown
// outcome, and says so.
//
// Book is the state machine of one agent and does no I/O. Committer writes
// claims in groups, after the group commit of databases (DeWitt et al.,
// "Implementation Techniques for Main Memory Database Systems", 1984): what
// arrives while one write is under way goes with the next.
package claimer
