// Package apportioner shares the places of a full service among teams, by max-min fairness over all
// entries (Bertsekas and Gallager, Data Networks, section 6.5.2).
//
// The package is decision logic: no I/O, no goroutines, no clock.
package apportioner
