// Package elector elects the processes that read a shared table on behalf of all.
//
// Each process elects the readers by itself, among itself and the members from which it
// has recently received messages; there is no agreement protocol. Members are ranked by a
// hash of their addresses (rendezvous hashing: Thaler and Ravishankar, 1998), so processes
// that know the same members elect the same readers, and when a reader fails only that
// one is replaced. While views differ, there may be one reader too many or too few. This
// affects cost and delay but not correctness, since every process reads for itself when
// it stops receiving updates from readers.
package elector
