// Package admitter decides, at the agent, which offered calls get a slot of the
// upstream, which wait in the queue, and which are refused.
//
// The package is decision logic: no I/O, no goroutines, no clock. A Controller
// owns the slots and the queue of one replica; its caller must hold a lock
// around it.
package admitter
