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
	// Prefix begins every minted key; a caller's own key may not begin so.
	Prefix = "tsk1."
	// DefaultLifetime is how long a minted key may be used. It is longer than the
	// store's long outages, and short enough that an agent's memory holds
	// every key that it was given.
	DefaultLifetime = timekeeper.Hour
	// MaxKeys bounds the keys of one order for keys.
	MaxKeys = 64

	radix      = 36
	nonceBytes = 12
	partsOfKey = 5
)

// Mint makes and checks the keys of one agent incarnation.
type Mint struct {
	name        string
	incarnation uint64
	life        timekeeper.Span
	secret      [sha256.Size]byte
}

// New returns a mint with a random secret. Zero life means DefaultLife.
func New(name string, incarnation uint64, life timekeeper.Span) *Mint {
	if life == 0 {
		life = DefaultLifetime
	}
	mint := &Mint{name: name, incarnation: incarnation, life: life}
	_, _ = rand.Read(mint.secret[:])
	return mint
}

// PublicPart is the public part of a minted key. It is not proven: it tells an
// entry where to offer the call, and the agent there checks the code.
type PublicPart struct {
	Instance    string
	Incarnation uint64
	Expires     timekeeper.Instant
}

// Make returns count new keys for a team and service, and their expiry.
func (mint *Mint) Make(team, service string, count int, now timekeeper.Instant) ([]string, timekeeper.Instant) {
	expires := now.Add(mint.life)
	keys := make([]string, min(max(count, 1), MaxKeys))
	for i := range keys {
		var nonce [nonceBytes]byte
		_, _ = rand.Read(nonce[:])
		payload := strings.Join([]string{
			base64.RawURLEncoding.EncodeToString([]byte(mint.name)),
			strconv.FormatUint(mint.incarnation, radix),
			strconv.FormatInt(int64(expires), radix),
			base64.RawURLEncoding.EncodeToString(nonce[:]),
		}, ".")
		keys[i] = Prefix + payload + "." + mint.code(team, service, payload)
	}
	return keys, expires
}

func (mint *Mint) code(team, service, payload string) string {
	mac := hmac.New(sha256.New, mint.secret[:])
	_, _ = mac.Write([]byte(team + "\x00" + service + "\x00" + payload))
	const shown = 16 // 128 bits can't be guessed within an hour
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:shown])
}

// Parse returns the public part of a key; false when it has not the form of one.
func Parse(key string) (PublicPart, bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	parts := strings.Split(rest, ".")
	if !ok || len(parts) != partsOfKey {
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

// Check reports whether this incarnation made the key for the team and
// service, and when it expires. A key that passed its expiry is still sound:
// whether it ran is answered from the book.
func (mint *Mint) Check(team, service, key string) (timekeeper.Instant, classifier.Failure, bool) {
	named, ok := Parse(key)
	if !ok {
		return 0, classifier.New(classifier.BadRequest, "the key begins like a minted one and is none"), false
	}
	if named.Instance != mint.name || named.Incarnation != mint.incarnation {
		return 0, classifier.New(classifier.WrongInstance, "the key names another incarnation"), false
	}
	rest := strings.TrimPrefix(key, Prefix)
	cut := strings.LastIndexByte(rest, '.')
	if !hmac.Equal([]byte(rest[cut+1:]), []byte(mint.code(team, service, rest[:cut]))) {
		return 0, classifier.New(classifier.BadRequest, "the key was not minted for this team and service"), false
	}
	return named.Expires, classifier.Failure{}, true
}
