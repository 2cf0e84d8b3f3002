// Package validator checks that what a server sent is a whole answer of HTTP/1.1.
//
// An answer without a length or chunks ends with its connection (RFC 9112, section 6.3), and only an
// orderly close ends it: one that is reset is incomplete (section 8). A Conn tells the two apart.
//
// net/http parses the heads of answers leniently: it accepts codes that are no status, and a blank in
// the name of a field, so that a length or chunks behind such a name don't frame the body.
// CheckHead rejects these (RFC 9110, sections 5.1 and 15; RFC 9112, sections 2.3, 4 and 5.1).
package validator
