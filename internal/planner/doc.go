// Package planner gives the orders to engines: which adapters to load and
// unload, which role to take, and which version of the weights to run.
//
// For each service one entry at a time is the planner. It holds a lease, one
// row of the table service that is changed by compare-and-set, with a fencing
// number that grows whenever the lease passes on. The number goes with every
// order; the agent, the only voice to its engine, refuses a lower one than it
// has seen, and an order whose lease has run out. So a holder that is paused,
// loses its lease and wakes does no harm.
//
// On leases see Gray and Cheriton, "Leases: an efficient fault-tolerant
// mechanism for distributed file cache consistency" (1989).
package planner
