// Package validator checks that what a server sent is a whole answer of HTTP/1.1.
//
// An answer without a length or chunks ends with its connection (RFC 9112, section 6.3), and only an
// orderly close ends it: one that is reset is incomplete (section 8). A Conn tells the two apart.
package validator
