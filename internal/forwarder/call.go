package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
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
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// call is one classified request of a caller. It doesn't change once made.
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
	// ranked and seek tell the agent how the entry ranks the chat, and that
	// the offer came for its prefix alone.
	ranked []string
	seek   bool
	// left is how long the caller still waits for the first byte.
	left timekeeper.Span
	// bound is the one incarnation that may run the call; zero means any.
	bound    uint64
	heard    *heard
	revision uint64
}

const (
	// longestKey bounds the Idempotency-Key in bytes.
	longestKey = 255
	// longestChat bounds the name of a chat in bytes.
	longestChat = 512
	// completionsPath is where model services are called.
	completionsPath = "/v1/chat/completions"
	// bytesPerToken is the estimate for text that has not been tokenized.
	bytesPerToken = 4
	// mostTokens bounds what a call is reckoned to generate. A caller may ask for
	// any number; without the bound one call could make a service's load look
	// endless, or negative, and with it every replica's share.
	mostTokens = 1 << 17
	// plainWork is the estimated work of a call to a plain service.
	plainWork = 1
	// normalUrgency is the urgency of a call without a Priority (RFC 9218, section 4.1).
	normalUrgency = 3
)

// classify authenticates a request, finds its service and reads its body.
func (entry *Entry) classify(w http.ResponseWriter, r *http.Request, id string) (call, error) {
	config := entry.settings.Config()
	team, ok := entry.keys.teamOf(config, r.Header.Get("Authorization"))
	if !ok {
		return call{}, classifier.New(classifier.Unauthorized, "send a team's key as Authorization: Bearer KEY")
	}
	made := call{
		id: id, heard: &heard{}, team: team, revision: config.Revision,
		method: r.Method, path: r.URL.RequestURI(), class: urgency(r.Header.Get("Priority")),
	}
	made.key = r.Header.Get(encoder.KeyHeader)
	if len(made.key) > longestKey {
		return call{}, classifier.New(classifier.HeadersTooLarge, "the Idempotency-Key is longer than 255 bytes")
	}
	if len(r.Header.Get(encoder.ChatHeader)) > longestChat {
		return call{}, classifier.New(classifier.HeadersTooLarge, "the chat's name is longer than 512 bytes")
	}
	made.headers = passedOn(r.Header, w.Header().Get("X-Request-Id"))
	if r.URL.Path == completionsPath {
		return entry.classifyModel(w, r, config, made)
	}
	return entry.classifyPlain(w, r, config, made)
}

func (entry *Entry) classifyPlain(w http.ResponseWriter, r *http.Request, config resolver.Config, made call) (call, error) {
	route, ok := config.RouteOf(r.URL.Path)
	if !ok {
		return call{}, classifier.New(classifier.NotFound, "no route covers "+r.URL.Path)
	}
	made.service = route.Service
	made.settings, _ = config.Service(route.Service)
	made.idempotent = route.IsIdempotent(r.Method)
	if !made.idempotent && route.RequireKey && made.key == "" {
		return call{}, classifier.New(classifier.KeyRequired, "")
	}
	body, err := entry.readBody(w, r, made.settings.MaxBody)
	if err != nil {
		return call{}, err
	}
	made.body = body
	made.work = plainWork
	made.chat = chatHash(made.team, r.Header.Get(encoder.ChatHeader))
	return made, nil
}

// modelRequest is the part of a chat completion that routing reads.
type modelRequest struct {
	Model     string `json:"model"`
	MaxTokens int64  `json:"max_tokens"`
}

func (entry *Entry) classifyModel(w http.ResponseWriter, r *http.Request, config resolver.Config, made call) (call, error) {
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
	made.service = name
	made.settings, _ = config.Service(name)
	if slices.Contains(made.settings.Adapters, request.Model) {
		made.adapter = request.Model
	}
	if int64(len(body)) > made.settings.MaxBody {
		return call{}, tooLarge(made.settings.MaxBody)
	}
	made.body = body
	made.idempotent = true
	made.work = int64(len(body))/bytesPerToken + min(max(0, request.MaxTokens), mostTokens)
	made.chat = chatHash(made.team, chatName(r, made.settings.ChatField, body))
	return made, nil
}

// chatName returns the name of the chat: the header's, else that of the
// configured field at the top of the body.
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

// chatHash returns the hash of a team's chat, and zero when there is no chat.
// The team is part of it, so that two teams' chats of one name stay apart.
func chatHash(team, chat string) uint64 {
	if chat == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(team+"\x00"+chat))
}

func tooLarge(limit int64) classifier.Failure {
	return classifier.New(classifier.BodyTooLarge, "the limit is "+strconv.FormatInt(limit, 10)+" bytes")
}

// readBody reads a whole request body within limit and the body timeout. The
// body is read before any slot is asked for, so that a caller who sends slowly
// holds a connection of the entry and nothing else.
func (entry *Entry) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(entry.settings.Clock.Now().Add(entry.settings.BodyTimeout).Time())
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, classifier.New(classifier.SlowCaller, "")
	case err != nil:
		return nil, classifier.New(classifier.BadRequest, "the body ended early")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// urgency reads the parameter u of a Priority header.
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
	return normalUrgency
}

// passedOn returns the headers that go to the upstream: not those of the
// connection, and not the caller's credentials.
func passedOn(header http.Header, requestID string) []*encoder.Header {
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

// keyTable finds the team of a key. It is rebuilt for each revision.
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
