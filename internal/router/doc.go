// Package router is the configuration that an entry serves by: which route a
// request belongs to, which service may run it, which team holds a key, and
// what may be repeated.
//
// A Configuration is an immutable value with a version. An entry replaces it as
// a whole, so a request that took one keeps it to its end, and no request sees
// half of a change. The package is decision logic: no I/O, no goroutines, no
// clock.
package router
