// Package claimer binds each Idempotency-Key to the one agent incarnation that
// may run its call.
//
// Before an agent runs a call that must not repeat, it claims the call's key: it
// inserts a row by compare-and-set into the platform's table. The row is keyed by
// team, service and key, and names the agent, its incarnation and the request.
// Claims are not leases that another agent could take over: the holder of an
// expired lease may be paused and then resume its work (Gray and Cheriton,
// "Leases", 1989). If the owner of a key is gone, the outcome of the call is
// reported as unknown, unless its row is marked as done.
//
// Book is the state machine of one agent and does no I/O. Committer writes
// claims in groups, like the group commit of databases (DeWitt et al.,
// "Implementation Techniques for Main Memory Database Systems", 1984): claims
// that arrive during one write go into the next.
package claimer
