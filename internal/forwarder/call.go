package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/receiver"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// call is one classified request of a caller. It is passed by value, so a function
// changes only its own copy. Copies point to the same refusalInfo, so that forward
// and forwardToOwner see what an attempt has recorded there.
type call struct {
	id      string
	service string
	// adapter is the adapter that a model call names, or "".
	adapter    string
	settings   resolver.Service
	team       string
	chat       uint64
	class      uint32
	idempotent bool
	key        string
	method     string
	path       string
	headers    []*encoder.Header
	body       []byte
	work       int64
	// ranked lists the replicas that the entry would try, best first. onlyIfCached
	// asks the agent to run the call only if it holds the chat's prefix. Both are
	// sent with the offer.
	ranked       []string
	onlyIfCached bool
	// remaining is how much longer the caller waits for the first byte.
	remaining timekeeper.Span
	// boundIncarnation is the only agent incarnation that may run the call; zero
	// means any.
	boundIncarnation uint64
	refusalInfo      *refusalInfo
	revision         uint64
}

const (
	// maxKeyBytes bounds the Idempotency-Key.
	maxKeyBytes = 255
	// maxChatBytes bounds the name of a chat.
	maxChatBytes = 512
	// completionsPath is the path of model calls.
	completionsPath = "/v1/chat/completions"
	// bytesPerToken estimates the tokens of text that has not been tokenized.
	bytesPerToken = 4
	// maxOutputTokens bounds the estimated output of a call. max_tokens may be any
	// number; without the bound one call could make a service's load appear
	// infinite or negative, and distort every replica's share with it.
	maxOutputTokens = 1 << 17
	// plainWork is the estimated work of a call to a plain service.
	plainWork = 1
	// defaultUrgency is the urgency of a call without a Priority header (RFC 9218,
	// section 4.1).
	defaultUrgency = 3
)

// classify authenticates a request, finds its service and reads its body.
func (entry *Entry) classify(w http.ResponseWriter, r *http.Request, id string) (call, error) {
	config := entry.settings.Config()
	team, ok := entry.keys.teamOf(config, r.Header.Get("Authorization"))
	if !ok {
		return call{}, classifier.New(classifier.Unauthorized, "send a team's key as Authorization: Bearer KEY")
	}
	classified := call{
		id: id, refusalInfo: &refusalInfo{}, team: team, revision: config.Revision,
		method: r.Method, path: r.URL.RequestURI(), class: urgency(r.Header.Get("Priority")),
	}
	classified.key = r.Header.Get(encoder.KeyHeader)
	if len(classified.key) > maxKeyBytes {
		return call{}, classifier.New(classifier.HeadersTooLarge, "the Idempotency-Key is longer than 255 bytes")
	}
	if len(r.Header.Get(encoder.ChatHeader)) > maxChatBytes {
		return call{}, classifier.New(classifier.HeadersTooLarge, "the chat's name is longer than 512 bytes")
	}
	classified.headers = forwardedHeaders(r.Header, w.Header().Get("X-Request-Id"))
	if r.URL.Path == completionsPath {
		return entry.classifyModel(w, r, config, classified)
	}
	return entry.classifyPlain(w, r, config, classified)
}

func (entry *Entry) classifyPlain(w http.ResponseWriter, r *http.Request, config resolver.Config, classified call) (call, error) {
	route, ok := config.RouteOf(r.URL.Path)
	if !ok {
		return call{}, classifier.New(classifier.NotFound, "no route covers "+r.URL.Path)
	}
	classified.service = route.Service
	classified.settings, _ = config.Service(route.Service)
	classified.idempotent = route.IsIdempotent(r.Method)
	if !classified.idempotent && route.RequireKey && classified.key == "" {
		return call{}, classifier.New(classifier.KeyRequired, "")
	}
	body, err := entry.readBody(w, r, classified.settings.MaxBody)
	if err != nil {
		return call{}, err
	}
	classified.body = body
	classified.work = plainWork
	classified.chat = chatHash(classified.team, r.Header.Get(encoder.ChatHeader))
	return classified, nil
}

// modelRequest holds the fields of a chat completion that routing reads.
type modelRequest struct {
	Model     string `json:"model"`
	MaxTokens int64  `json:"max_tokens"`
}

func (entry *Entry) classifyModel(w http.ResponseWriter, r *http.Request, config resolver.Config, classified call) (call, error) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return call{}, classifier.New(classifier.MethodNotAllowed, "use POST")
	}
	body, err := entry.readBody(w, r, encoder.MaxBody)
	if err != nil {
		return call{}, err
	}
	var request modelRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return call{}, classifier.New(classifier.BadRequest, "the body is not a chat completion: "+err.Error())
	}
	name, ok := config.ServiceOfModel(request.Model)
	if !ok {
		return call{}, classifier.New(classifier.NotFound, "no service answers to model "+strconv.Quote(request.Model))
	}
	classified.service = name
	classified.settings, _ = config.Service(name)
	if slices.Contains(classified.settings.Adapters, request.Model) {
		classified.adapter = request.Model
	}
	if int64(len(body)) > classified.settings.MaxBody {
		return call{}, bodyTooLarge(classified.settings.MaxBody)
	}
	classified.body = body
	classified.idempotent = true
	classified.work = int64(len(body))/bytesPerToken + min(max(0, request.MaxTokens), maxOutputTokens)
	classified.chat = chatHash(classified.team, chatName(r, classified.settings.ChatField, body))
	return classified, nil
}

// chatName returns the name of the chat from the header, or else from the
// configured top-level field of the body.
func chatName(r *http.Request, field string, body []byte) string {
	if name := r.Header.Get(encoder.ChatHeader); name != "" || field == "" {
		return name
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	var name string
	if json.Unmarshal(fields[field], &name) != nil {
		return ""
	}
	return name
}

// chatHash returns the hash of a team's chat, or zero if there is no chat. It
// includes the team, so that chats of the same name of two teams differ.
func chatHash(team, chat string) uint64 {
	if chat == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(team+"\x00"+chat))
}

func bodyTooLarge(limit int64) classifier.Failure {
	return classifier.New(classifier.BodyTooLarge, "the limit is "+strconv.FormatInt(limit, 10)+" bytes")
}

// readBody reads the whole request body within limit, the memory for bodies and the body timeout. It
// runs before a slot is requested, so that a slow sender occupies only a connection of the entry. The
// memory is returned when the request has been answered.
func (entry *Entry) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	body, err := receiver.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, receiver.Settings{
		Memory: entry.bodies, Timeout: entry.settings.BodyTimeout, Now: entry.settings.Clock.Now,
		SetDeadline: func(span timekeeper.Span) { _ = control.SetReadDeadline(timekeeper.In(span)) },
	})
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, bodyTooLarge(limit)
	case errors.Is(err, receiver.ErrMemory):
		return nil, classifier.New(classifier.Overloaded, err.Error()).WithRetryAfter(timekeeper.Second)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, classifier.New(classifier.SlowCaller, "")
	case err != nil:
		return nil, classifier.New(classifier.BadRequest, "the body ended early")
	}
	_ = control.SetReadDeadline(time.Time{})
	text := body.Text()
	context.AfterFunc(r.Context(), body.Release)
	return text, nil
}

// urgency returns the parameter u of a Priority header, or defaultUrgency.
func urgency(header string) uint32 {
	for item := range strings.SplitSeq(header, ",") {
		digits, ok := strings.CutPrefix(strings.TrimSpace(item), "u=")
		if !ok {
			continue
		}
		if value, err := strconv.ParseUint(digits, 10, 8); err == nil && value <= 7 {
			return uint32(value)
		}
	}
	return defaultUrgency
}

// forwardedHeaders returns the headers for the upstream: without hop-by-hop
// headers, Content-Length and the caller's credentials, and with the given request
// id.
func forwardedHeaders(header http.Header, requestID string) []*encoder.Header {
	out := []*encoder.Header{{Name: "X-Request-Id", Value: requestID}}
	for name, values := range header {
		if encoder.HopByHop(name) || name == "Authorization" || name == "Content-Length" || name == "X-Request-Id" {
			continue
		}
		for _, value := range values {
			out = append(out, &encoder.Header{Name: name, Value: value})
		}
	}
	return out
}

// keyTable maps hashes of keys to teams. It is rebuilt for each revision of the
// configuration.
type keyTable struct {
	mu       sync.Mutex
	revision uint64
	teams    map[string]string
}

func (table *keyTable) teamOf(config resolver.Config, authorization string) (string, bool) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.teams == nil || table.revision != config.Revision {
		table.teams = teamsByKey(config)
		table.revision = config.Revision
	}
	team, ok := table.teams[hex.EncodeToString(sum[:])]
	return team, ok
}

func teamsByKey(config resolver.Config) map[string]string {
	teams := map[string]string{}
	for name, team := range config.Teams {
		for _, hash := range team.KeyHashes {
			teams[hash] = name
		}
	}
	return teams
}
