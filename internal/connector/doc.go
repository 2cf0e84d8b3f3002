// Package connector pools connections to replicas and carries one HTTP/1.1
// exchange at a time over each.
//
// It uses net/http for headers and the parsing of answers, but not its
// Transport, for three reasons. The Transport retries a request by itself when
// a kept connection turns out to be dead, so a request might run twice. It
// takes the first bytes on a kept connection as the answer, so a stray answer
// would go to the wrong caller. And it may dial a second connection while the
// first is being opened, whereas replicas reset connections over their limit.
//
// An answer is whole by its length, its chunks, or an orderly end of its connection; one that is reset
// fails while its body is read (package validator).
//
// A failed exchange reports its progress: Unsent means that no byte of the
// request left this process, and only then is it certain that nothing ran.
package connector
