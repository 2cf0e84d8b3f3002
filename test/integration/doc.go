// Package integration holds tests that run the built binary as real processes
// on loopback, behind a proxy that injects faults.
//
// Fakes of the platform and of the upstreams run inside the test process, so a
// test can check which calls they executed.
package integration
