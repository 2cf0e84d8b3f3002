// Package classifier defines the closed list of error kinds and the answer that
// a caller gets for each.
//
// Every failure that can reach a caller has one Kind. The table gives its HTTP
// status, whether the request ran (no, unknown or yes), and whether a later retry
// can help. Answers are problem details of RFC 9457 with the extra members "ran" and
// "request-id".
package classifier
