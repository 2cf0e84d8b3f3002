package forwarder

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/minter"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// keysPath is where callers get minted keys.
const keysPath = "/v1/keys"

// KeyRequest asks for minted keys.
type KeyRequest struct {
	// Service is the service that the keys are for.
	Service string `json:"service"`
	// Count is how many keys are wanted, 1 to 64; zero means 1.
	Count int `json:"count"`
}

// KeyResponse is the answer to a KeyOrder.
type KeyResponse struct {
	Keys []string `json:"keys"`
	// Expires is the last moment at which the keys may be used first.
	Expires string `json:"expires"`
}

// serveKeys gives a team keys that need no store.
func (entry *Entry) serveKeys(w http.ResponseWriter, r *http.Request, id string) {
	grant, err := entry.mint(w, r, id)
	if err != nil {
		entry.refuse(w, id, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(grant)
}

func (entry *Entry) mint(w http.ResponseWriter, r *http.Request, id string) (KeyResponse, error) {
	config := entry.settings.Config()
	team, ok := entry.keys.teamOf(config, r.Header.Get("Authorization"))
	if !ok {
		return KeyResponse{}, classifier.New(classifier.Unauthorized, "send a team's key as Authorization: Bearer KEY")
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return KeyResponse{}, classifier.New(classifier.MethodNotAllowed, "use POST")
	}
	const limit = 4096
	body, err := entry.readBody(w, r, limit)
	if err != nil {
		return KeyResponse{}, err
	}
	var order KeyRequest
	if err := json.Unmarshal(body, &order); err != nil || order.Count < 0 || order.Count > minter.MostAtOnce {
		return KeyResponse{}, classifier.New(classifier.BadRequest, `send {"service": NAME, "count": 1 to 64}`)
	}
	if _, ok := config.Service(order.Service); !ok {
		return KeyResponse{}, classifier.New(classifier.NotFound, "no such service")
	}
	return entry.mintAt(r, id, &encoder.MintAsk{Team: team, Service: order.Service, Count: uint32(max(1, order.Count))})
}

// mintAt asks one agent after the other. Each order starts at another agent,
// so that the calls made with the keys spread as other calls do.
func (entry *Entry) mintAt(r *http.Request, id string, ask *encoder.MintAsk) (KeyResponse, error) {
	failure := classifier.New(classifier.NoUpstream, ask.GetService()).WithRetryAfter(timekeeper.Second)
	for _, replica := range entry.settings.Roster(ask.GetService()).Rank(xxhash.Sum64String(id), placer.MaxOffers) {
		conn, err := entry.settings.Pool.Open(r.Context(), replica.Address)
		if err != nil {
			failure = classifier.New(classifier.Unreachable, replica.Name)
			continue
		}
		_ = conn.SetDeadline(entry.settings.Clock.Now().Add(lookUpTimeout).Time())
		minted, err := askOnce(conn, ask, (*encoder.Frame).GetMinted)
		switch {
		case err != nil:
			failure = classifier.New(classifier.Unreachable, replica.Name)
		case minted.GetKind() != "":
			failure = classifier.New(classifier.KindOf(minted.GetKind()), replica.Name)
		default:
			return KeyResponse{Keys: minted.GetKeys(), Expires: timekeeper.Instant(minted.GetExpires()).String()}, nil
		}
	}
	return KeyResponse{}, failure
}

// askOnce sends one message, reads the answer and closes the connection.
func askOnce[T comparable](conn net.Conn, message any, pick func(*encoder.Frame) T) (T, error) {
	defer func() { _ = conn.Close() }()
	stream := encoder.NewStream(conn)
	if err := stream.Write(encoder.Of(message)); err != nil {
		var none T
		return none, err
	}
	return encoder.ReadAs(stream, pick)
}
