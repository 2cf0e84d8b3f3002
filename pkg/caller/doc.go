// Package caller is a small client for services behind trefoilseam.
//
// It does three things that a client must get right. It gives each call that must
// not run twice one Idempotency-Key and resends the call with the same key. It resends
// only when that is safe: when the answer says that the call did not run, or with the
// same key. It resumes a broken stream with Last-Event-ID, and never reports a
// partial stream as complete.
package caller
