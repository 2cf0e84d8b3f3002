// Package minter makes and checks idempotency keys that need no store.
//
// A minted key names the one agent incarnation that may run its call, and carries
// an expiry and a message authentication code (HMAC, RFC 2104) over both, the team
// and the service. Since no other process accepts the key, the incarnation can run the
// call at most once from its memory alone, and orders still run while the
// platform's store is down. Each incarnation generates a random secret that never
// leaves it. So a new incarnation rejects the keys of the old one, whose calls may
// have run already.
package minter
