// Package classifier holds the closed list of error kinds and the table from
// kind to the answer that a caller gets.
//
// Every failure that can reach a caller has one Kind. The table says which
// HTTP status it is answered with, whether the request ran (no, unknown), and
// whether a later try can help. Answers are problem details of RFC 9457 with
// the extra members "ran" and "request-id".
package classifier
