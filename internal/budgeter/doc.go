// Package budgeter counts the bytes of a process's control messages by cause, and
// returns how near they are to its budget.
//
// Every control message is counted where it is sent or received. The package does no
// I/O and has no clock of its own.
package budgeter
