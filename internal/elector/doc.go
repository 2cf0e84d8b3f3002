// Package elector decides which of many processes read a shared table for all of
// them.
//
// Each process decides for itself, from whom it has heard of lately; nobody is asked
// and nothing is agreed on. Members are ranked by a hash of their addresses (rendezvous
// hashing: Thaler and Ravishankar, 1998), so processes that hear of the same members
// choose the same readers, and when one goes only its place is filled anew. Where views
// differ for a moment, one reader too many or too few reads: a matter of cost and of
// delay, never of what is true, since every process still reads for itself when it
// stops hearing from readers.
package elector
