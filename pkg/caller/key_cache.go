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
	// keysPath is where minted keys are got.
	keysPath = "/v1/keys"
	// purseSize is how many keys a key cache gets at a time.
	keyCacheSize = 16
	// purseMargin is the time before their end from which keys are not given
	// out any more, so that the resends of a call end before its key does.
	keyMargin = 5 * timekeeper.Minute
)

// KeyCache holds minted keys in hand. Calls under a minted key need no store, so
// they go on through an outage of it. A key names one agent: when that is
// replaced before the key was used, a call under it can't run and ends with
// ErrUnknown. A caller that knows that it never sent the key may take another.
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

// Take returns a key that has not been given out. An empty key cache, or one whose
// keys are about to end, is filled first.
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

// Drop forgets the keys in hand. It is for a caller that got ErrUnknown for a
// key's first use: the others name the same agent.
func (cache *KeyCache) Drop() {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.keys = nil
}

// fill gets new keys; the lock must be held.
func (cache *KeyCache) fill(ctx context.Context) error {
	ask, err := json.Marshal(keyAsk{Service: cache.service, Count: keyCacheSize})
	if err != nil {
		return eris.Wrap(err, "ask for keys")
	}
	// Asking for keys changes nothing, so it needs no key of its own.
	answer, err := cache.caller.send(ctx, Call{Method: http.MethodPost, Path: keysPath, Body: ask})
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

type keyAsk struct {
	Service string `json:"service"`
	Count   int    `json:"count"`
}

type keyGrant struct {
	Keys    []string  `json:"keys"`
	Expires time.Time `json:"expires"`
}
