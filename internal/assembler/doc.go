// Package assembler puts the parts of a process together: an entry, an agent,
// or the whole small site that the command dev runs.
//
// What entries and agents have in common is a shell: listeners, metrics, the
// record, and the watch over configuration and membership.
//
// Each process is a set of actors in a group of oklog/run. When one of them
// ends, or the process is told to stop, all are interrupted; the actor that
// serves calls first lets what is in flight end.
package assembler
