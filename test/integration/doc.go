// Package integration holds tests that run the built binary as real processes
// on loopback, behind a proxy that injects faults.
//
// The tests live in this package's test files. Stand-ins for the platform and
// the upstreams run inside the test process, so a test can read what they ran.
package integration
