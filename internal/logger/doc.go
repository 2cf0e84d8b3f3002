// Package logger writes structured logs without ever holding up who logs.
//
// Lines go through a bounded queue to one goroutine that writes them. When the
// reader of the output stalls, or lines come faster than it reads, lines are
// dropped and counted, and the next line that gets through says how many.
package logger
