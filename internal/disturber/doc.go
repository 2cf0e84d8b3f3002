// Package disturber provides a TCP proxy for tests that injects faults between
// two processes. Each direction can be delayed, stalled, discarded, or cut after
// a number of bytes; open connections can be cut, and new ones refused.
package disturber
