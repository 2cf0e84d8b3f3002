package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// keysPath is the path of requests for minted keys.
	keysPath = "/v1/keys"
	// keyCacheSize is the number of keys per request.
	keyCacheSize = 16
	// keyMargin is the remaining lifetime below which a key is not returned any more,
	// so that the resends of a call end before its key expires.
	keyMargin = 5 * timekeeper.Minute
)

// KeyCache holds minted keys for later calls. Calls with a minted key need no store, so
// an outage of the store doesn't stop them. A key names one agent: if that agent is
// replaced before the key is used, a call with the key can't run and ends with
// ErrUnknown. A caller that knows that it never sent the key before may take another.
type KeyCache struct {
	caller  *Caller
	service string

	mu      sync.Mutex
	keys    []string
	expires timekeeper.Instant
}

// KeyCache returns an empty key cache for a service.
func (caller *Caller) KeyCache(service string) *KeyCache {
	return &KeyCache{caller: caller, service: service}
}

// Take returns a key that it has not returned before. It first fetches new keys if the
// cache is empty or its keys are about to expire.
func (cache *KeyCache) Take(ctx context.Context) (string, error) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	now := cache.caller.settings.Clock.Now()
	if len(cache.keys) == 0 || !now.Add(keyMargin).Before(cache.expires) {
		if err := cache.fill(ctx); err != nil {
			return "", err
		}
	}
	key := cache.keys[0]
	cache.keys = cache.keys[1:]
	return key, nil
}

// Drop discards the cached keys. Call it after ErrUnknown for the first use of a key:
// the other keys name the same agent.
func (cache *KeyCache) Drop() {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.keys = nil
}

// fill fetches new keys; mu must be held.
func (cache *KeyCache) fill(ctx context.Context) error {
	request, err := json.Marshal(keyRequest{Service: cache.service, Count: keyCacheSize})
	if err != nil {
		return eris.Wrap(err, "ask for keys")
	}
	// Minting keys changes no state, so this request needs no Idempotency-Key.
	answer, err := cache.caller.send(ctx, Call{Method: http.MethodPost, Path: keysPath, Body: request})
	if err != nil {
		return err
	}
	var grant keyGrant
	if err := json.Unmarshal(answer.Body, &grant); err != nil {
		return eris.Wrap(err, "the answer is no grant of keys")
	}
	if len(grant.Keys) == 0 {
		return eris.New("no keys were granted")
	}
	cache.keys = grant.Keys
	cache.expires = timekeeper.FromTime(grant.Expires)
	return nil
}

type keyRequest struct {
	Service string `json:"service"`
	Count   int    `json:"count"`
}

type keyGrant struct {
	Keys    []string  `json:"keys"`
	Expires time.Time `json:"expires"`
}
