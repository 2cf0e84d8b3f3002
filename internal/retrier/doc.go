// Package retrier bounds how much an entry tries again.
//
// A retry helps while some replicas are full and others are not. At full
// saturation it only adds offers that will be refused: with two retries a call
// the agents would see three times the load that callers send. A retry budget
// (Beyer et al., "Site Reliability Engineering", 2016, chapter 21) lets a set
// part of the calls be tried again, so the amplification has a ceiling however
// many calls fail.
//
// The package is decision logic: no I/O, no goroutines, no clock.
package retrier
