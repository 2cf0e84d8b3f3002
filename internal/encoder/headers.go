package encoder

// Names of the HTTP headers that the fleet uses.
const (
	// ChatHeader names the chat that a call belongs to.
	ChatHeader = "Trefoilseam-Chat"
	// UpstreamHeader names the replica that answered.
	UpstreamHeader = "Trefoilseam-Upstream"
	// CachedHeader carries the number of prompt tokens that were found cached.
	CachedHeader = "Trefoilseam-Cached"
	// RequestHeader carries the id of the call inside the fleet.
	RequestHeader = "Trefoilseam-Request"
	// ReplayedHeader marks an answer that was kept from an earlier call with the
	// same key.
	ReplayedHeader = "Idempotency-Replayed"
	// CacheChatHeader names the chat to an engine whose cache can be exported: the
	// hexadecimal hash that identifies the chat in the fleet.
	CacheChatHeader = "Trefoilseam-Cache-Chat"
	// KeyHeader carries the caller's key for a call that must not run twice.
	KeyHeader = "Idempotency-Key"
)

// HopByHop reports whether a header belongs to one connection (RFC 9110,
// section 7.6.1) and must not be passed on. The name is in canonical form.
func HopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
