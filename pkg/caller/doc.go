// Package caller is a small client for services behind trefoilseam.
//
// It does the three things that a caller must get right. It gives each call
// that must not run twice one Idempotency-Key and keeps that key through every
// resend. It resends only when that is safe: when the answer says that nothing
// ran, or under the same key. It resumes a stream whose connection broke with
// Last-Event-ID, and never takes a part of a stream for the whole.
package caller
