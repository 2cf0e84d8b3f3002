// Package reserver gives refused requests a time of return, so that no more of them return at a time
// than a service has room for.
//
// The package is decision logic: no I/O, no goroutines, no clock.
package reserver
