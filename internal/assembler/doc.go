// Package assembler wires the components of a process together: an entry, an agent,
// or the small site that the command dev runs.
//
// There are two kinds of entries: Entry sends calls to agents, Direct sends requests to
// replicas itself. Entry and Agent share a base: listeners, metrics, the record,
// and the watch over configuration and membership.
//
// Each process is a group of oklog/run actors. When one of them ends, or the process
// receives a stop signal, all are interrupted; the actor that serves calls first waits
// for calls in flight.
package assembler
