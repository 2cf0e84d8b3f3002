// Package admitter decides, at the agent, which offers get a slot of the
// upstream, which wait, and which are refused.
//
// The package is decision logic: no I/O, no goroutines, no clock. A Controller is
// the aggregate that owns slots and queue of one replica; its caller holds a
// lock around it.
package admitter
