package minter

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// Prefix is the prefix of every minted key; a caller's own key must not have it.
	Prefix = "tsk1."
	// DefaultLifetime is the time until a minted key expires. It outlasts long outages
	// of the store, and is short enough that an agent can keep in memory every key
	// that it has received.
	DefaultLifetime = timekeeper.Hour
	// MaxKeysPerRequest limits the keys of one request for keys.
	MaxKeysPerRequest = 64

	radix      = 36
	nonceBytes = 12
	keyParts   = 5
)

// Mint makes and checks the keys of one agent incarnation.
type Mint struct {
	name        string
	incarnation uint64
	lifetime    timekeeper.Span
	secret      [sha256.Size]byte
}

// New returns a mint with a random secret. Zero lifetime means DefaultLifetime.
func New(name string, incarnation uint64, lifetime timekeeper.Span) *Mint {
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	mint := &Mint{name: name, incarnation: incarnation, lifetime: lifetime}
	_, _ = rand.Read(mint.secret[:])
	return mint
}

// PublicPart is the part of a minted key that anyone can read. An entry uses it,
// unauthenticated, to find the agent to offer the call to; that agent checks the
// authentication code.
type PublicPart struct {
	Instance    string
	Incarnation uint64
	Expires     timekeeper.Instant
}

// Make returns count new keys for a team and service, at least one and at most
// MaxKeysPerRequest, and their expiry.
func (mint *Mint) Make(team, service string, count int, now timekeeper.Instant) ([]string, timekeeper.Instant) {
	expires := now.Add(mint.lifetime)
	keys := make([]string, min(max(count, 1), MaxKeysPerRequest))
	for i := range keys {
		var nonce [nonceBytes]byte
		_, _ = rand.Read(nonce[:])
		payload := strings.Join([]string{
			base64.RawURLEncoding.EncodeToString([]byte(mint.name)),
			strconv.FormatUint(mint.incarnation, radix),
			strconv.FormatInt(int64(expires), radix),
			base64.RawURLEncoding.EncodeToString(nonce[:]),
		}, ".")
		keys[i] = Prefix + payload + "." + mint.authCode(team, service, payload)
	}
	return keys, expires
}

// authCode returns the encoded authentication code of a payload.
func (mint *Mint) authCode(team, service, payload string) string {
	mac := hmac.New(sha256.New, mint.secret[:])
	_, _ = mac.Write([]byte(team + "\x00" + service + "\x00" + payload))
	const macBytes = 16 // 128 bits can't be guessed before the key expires
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// Parse returns the public part of a minted key, and false if the key is malformed.
func Parse(key string) (PublicPart, bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	parts := strings.Split(rest, ".")
	if !ok || len(parts) != keyParts {
		return PublicPart{}, false
	}
	name, err := base64.RawURLEncoding.DecodeString(parts[0])
	incarnation, err2 := strconv.ParseUint(parts[1], radix, 64)
	expires, err3 := strconv.ParseInt(parts[2], radix, 64)
	if err != nil || err2 != nil || err3 != nil {
		return PublicPart{}, false
	}
	return PublicPart{Instance: string(name), Incarnation: incarnation, Expires: timekeeper.Instant(expires)}, true
}

// Check reports whether this incarnation made the key for the team and service, and
// returns its expiry, or the reason why it is rejected. Check accepts expired keys,
// since claimer.Book holds whether their calls ran and doesn't start them.
func (mint *Mint) Check(team, service, key string) (timekeeper.Instant, classifier.Failure, bool) {
	public, ok := Parse(key)
	if !ok {
		return 0, classifier.New(classifier.BadRequest, "the key begins like a minted one and is none"), false
	}
	if public.Instance != mint.name || public.Incarnation != mint.incarnation {
		return 0, classifier.New(classifier.WrongInstance, "the key names another incarnation"), false
	}
	rest := strings.TrimPrefix(key, Prefix)
	cut := strings.LastIndexByte(rest, '.')
	if !hmac.Equal([]byte(rest[cut+1:]), []byte(mint.authCode(team, service, rest[:cut]))) {
		return 0, classifier.New(classifier.BadRequest, "the key was not minted for this team and service"), false
	}
	return public.Expires, classifier.Failure{}, true
}
