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

// keysPath is where callers request minted keys.
const keysPath = "/v1/keys"

// KeyRequest is the body of a request for minted keys.
type KeyRequest struct {
	// Service is the service that the keys are for.
	Service string `json:"service"`
	// Count is the number of keys, 1 to 64; zero means 1.
	Count int `json:"count"`
}

// KeyResponse is the answer to a KeyRequest.
type KeyResponse struct {
	Keys []string `json:"keys"`
	// Expires is the latest time at which a key may be used first.
	Expires string `json:"expires"`
}

// serveKeys issues minted keys, which need no store, to a team.
func (entry *Entry) serveKeys(w http.ResponseWriter, r *http.Request, id string) {
	response, err := entry.mint(w, r, id)
	if err != nil {
		entry.refuse(w, id, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
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
	var request KeyRequest
	if err := json.Unmarshal(body, &request); err != nil || request.Count < 0 || request.Count > minter.MaxKeysPerRequest {
		return KeyResponse{}, classifier.New(classifier.BadRequest, `send {"service": NAME, "count": 1 to 64}`)
	}
	if _, ok := config.Service(request.Service); !ok {
		return KeyResponse{}, classifier.New(classifier.NotFound, "no such service")
	}
	return entry.mintFromAgents(r, id, &encoder.MintAsk{Team: team, Service: request.Service, Count: uint32(max(1, request.Count))})
}

// mintFromAgents asks one agent after the other until one mints the keys. Each
// request starts at another agent, so that the calls made with the keys are spread
// like other calls.
func (entry *Entry) mintFromAgents(r *http.Request, id string, ask *encoder.MintAsk) (KeyResponse, error) {
	failure := classifier.New(classifier.NoUpstream, ask.GetService()).WithRetryAfter(timekeeper.Second)
	for _, replica := range entry.settings.Roster(ask.GetService()).Rank(xxhash.Sum64String(id), placer.MaxOffers) {
		conn, err := entry.settings.Pool.Open(r.Context(), replica.Address)
		if err != nil {
			failure = classifier.New(classifier.Unreachable, replica.Name)
			continue
		}
		_ = conn.SetDeadline(entry.settings.Clock.Now().Add(lookUpTimeout).Time())
		minted, err := roundTrip(conn, ask, (*encoder.Frame).GetMinted)
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

// roundTrip sends one message, reads the answer and closes the connection.
func roundTrip[T comparable](conn net.Conn, message any, get func(*encoder.Frame) T) (T, error) {
	defer func() { _ = conn.Close() }()
	stream := encoder.NewStream(conn)
	if err := stream.Write(encoder.Of(message)); err != nil {
		var zero T
		return zero, err
	}
	return encoder.ReadAs(stream, get)
}
