package forwarder

import (
	"context"
	"net/http"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

const (
	// lastEventID is the header by which a caller resumes a stream (WHATWG HTML,
	// section 9.2.4).
	lastEventID = "Last-Event-Id"
	// streamsPath is where a stream is resumed by GET and canceled by DELETE.
	streamsPath = "/v1/streams/"
	// maxEventIDBytes bounds an event id.
	maxEventIDBytes = 256
)

// streamRequest asks to resume or cancel an existing stream.
type streamRequest struct {
	eventID string
	cancel  bool
}

// parseStreamRequest returns the stream that a request names and reports whether it
// names one: a completion with Last-Event-ID, or any request under streamsPath.
func parseStreamRequest(r *http.Request) (streamRequest, bool) {
	if id, ok := strings.CutPrefix(r.URL.Path, streamsPath); ok {
		return streamRequest{eventID: id, cancel: r.Method == http.MethodDelete}, true
	}
	id := r.Header.Get(lastEventID)
	return streamRequest{eventID: id}, id != "" && r.URL.Path == completionsPath
}

// serveStream resumes or cancels a stream. Any entry can do it: the event id names
// the replica that holds the answer, and that replica's agent checks that the
// stream belongs to the team.
func (entry *Entry) serveStream(w http.ResponseWriter, r *http.Request, id string, request streamRequest) error {
	team, ok := entry.keys.teamOf(entry.settings.Config(), r.Header.Get("Authorization"))
	if !ok {
		return classifier.New(classifier.Unauthorized, "send a team's key as Authorization: Bearer KEY")
	}
	address, ok := entry.locate(request.eventID)
	if !ok {
		return classifier.New(classifier.ResumeLost, "the replica of the stream is not known here")
	}
	conn, err := entry.settings.Pool.Open(r.Context(), address)
	if err != nil {
		return classifier.New(classifier.ResumeLost, "the replica of the stream can't be reached").WithRetryAfter(1)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(r.Context(), func() { _ = conn.Close() })
	defer stop()
	stream := encoder.NewStream(conn)
	if request.cancel {
		return cancelStream(w, stream, team, request.eventID)
	}
	return entry.relayRest(w, stream, call{id: id, team: team}, request.eventID)
}

// locate returns the address of the replica that an event id names. The replica's
// name is the id without its last three parts.
func (entry *Entry) locate(eventID string) (string, bool) {
	const suffixParts = 3
	parts := strings.Split(eventID, ".")
	if len(eventID) > maxEventIDBytes || len(parts) <= suffixParts {
		return "", false
	}
	return entry.settings.Locate(strings.Join(parts[:len(parts)-suffixParts], "."))
}

func cancelStream(w http.ResponseWriter, stream *encoder.Stream, team, eventID string) error {
	if err := stream.Write(encoder.Of(&encoder.Cancel{Team: team, EventId: eventID, Reason: "caller canceled"})); err != nil {
		return classifier.New(classifier.OutcomeUnknown, "the cancel may not have arrived")
	}
	found, err := encoder.ReadAs(stream, (*encoder.Frame).GetFound)
	if err != nil {
		return classifier.New(classifier.OutcomeUnknown, "the cancel may not have arrived")
	}
	if found.GetState() != encoder.RunState_RUN_STATE_RUNNING {
		return classifier.New(classifier.ResumeLost, "no such stream of this team")
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// relayRest relays the rest of a stream, from the byte after the last event that
// the caller has.
func (entry *Entry) relayRest(w http.ResponseWriter, stream *encoder.Stream, call call, eventID string) error {
	lookup := &encoder.Lookup{Team: call.team, EventId: eventID, Follow: true}
	if err := stream.Write(encoder.Of(lookup)); err != nil {
		return classifier.New(classifier.ResumeLost, "the connection broke").WithRetryAfter(1)
	}
	found, err := encoder.ReadAs(stream, (*encoder.Frame).GetFound)
	if err != nil {
		return classifier.New(classifier.ResumeLost, "the connection broke").WithRetryAfter(1)
	}
	switch found.GetState() {
	case encoder.RunState_RUN_STATE_RUNNING, encoder.RunState_RUN_STATE_DONE:
	default:
		return classifier.New(classifier.ResumeLost, "the stream is no longer kept, or is another team's")
	}
	call.id = found.GetRequestId()
	answer := entry.newRelayedAnswer(w, call)
	answer.resumed = true
	answer.length = found.GetOffset()
	if failure, ok := answer.relayOnce(stream); !ok {
		return failure
	}
	return nil
}
