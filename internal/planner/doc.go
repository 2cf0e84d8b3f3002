// Package planner gives orders to engines: which adapters to load and unload, which role
// to take, and which version of the weights to run.
//
// For each service, one entry at a time is the planner. It holds a lease: a row in the
// store, changed by compare-and-set, with a fencing token that grows whenever the lease
// changes hands. Every order carries the token. The agent, the only process that talks to
// its engine, refuses an order with a lower token than it has seen, and an order whose
// lease has expired. So a holder that is paused, loses its lease and resumes does no harm.
//
// On leases see Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
// distributed file cache consistency" (1989).
package planner
