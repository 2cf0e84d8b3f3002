// Package minter makes and checks idempotency keys that need no store.
//
// A minted key names the one agent incarnation that may run it, an expiry and
// a message authentication code (HMAC, RFC 2104) over both, the team and the
// service. Because no other process will run the key, that incarnation's
// memory is enough to run it at most once, and orders keep flowing while the
// platform's store is down. The secret is made at random for each incarnation
// and never leaves it: a new incarnation can't check an old one's keys, and
// so can't run what the old one may have run.
package minter
