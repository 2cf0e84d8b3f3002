// Package disturber is a TCP proxy that injects faults between two processes
// of a test: delay, stall, cut, cut after a number of bytes, each by direction.
package disturber
