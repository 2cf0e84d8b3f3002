// Package budgeter counts what a process spends on control messages, by cause,
// and says how much of its budget is left.
//
// Every control message passes it at the seam where it is sent or read. The
// decision has no I/O and no clock of its own.
package budgeter
