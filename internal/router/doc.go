// Package router holds the configuration of an entry: the route and service of
// a request, the team of a key, and which requests may be retried.
//
// A Configuration is an immutable value with a version. An entry replaces it as
// a whole, and each request uses the same one to its end, so no request sees
// half of a change. The package does no I/O, starts no goroutines and uses no
// clock.
package router
