// Package retrier limits the retries of an entry.
//
// A retry helps while some replicas are full and others are not. At full
// saturation it only adds offers that will be refused: with two retries a call
// the agents would see three times the load that callers send. A retry budget
// (Beyer et al., "Site Reliability Engineering", 2016, chapter 21) lets only a
// set part of the calls be retried, so that the amplification is bounded however
// many calls fail.
//
// Budget limits the retries of one process. Window limits those of all processes
// of a fleet together: what each may send adds up to no more than the fleet may,
// while processes restart and callers move between them.
//
// The package is decision logic: no I/O, no goroutines, no clock.
package retrier
