// Package logger writes structured logs without blocking the callers that log.
//
// Lines pass through a bounded queue to one goroutine that writes them. When the
// reader of the output stalls or is slower than the callers, lines are dropped and
// counted, and the number dropped is logged before the next line that is written.
package logger
