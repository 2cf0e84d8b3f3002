package forwarder

import (
	"context"
	"net/http"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

const (
	// lastEventID is the header by which a caller resumes a stream (WHATWG
	// HTML, section 9.2.4).
	lastEventID = "Last-Event-Id"
	// streamsPath is where a stream is resumed by GET and canceled by DELETE.
	streamsPath = "/v1/streams/"
	// longestEventID bounds an event id in bytes.
	longestEventID = 256
)

// resumption is a caller's wish about a stream that runs already.
type resumption struct {
	eventID string
	cancel  bool
}

// resumes reports whether a request is about a stream that runs already: a
// completion with Last-Event-ID, or any request for a stream by name.
func resumes(r *http.Request) (resumption, bool) {
	if id, ok := strings.CutPrefix(r.URL.Path, streamsPath); ok {
		return resumption{eventID: id, cancel: r.Method == http.MethodDelete}, true
	}
	id := r.Header.Get(lastEventID)
	return resumption{eventID: id}, id != "" && r.URL.Path == completionsPath
}

// serveStream resumes or cancels a stream. Any entry can do it: the event id
// names the replica that holds the answer, and its agent checks that the
// stream belongs to the team.
func (entry *Entry) serveStream(w http.ResponseWriter, r *http.Request, id string, wish resumption) error {
	team, ok := entry.keys.teamOf(entry.settings.Config(), r.Header.Get("Authorization"))
	if !ok {
		return classifier.New(classifier.Unauthorized, "send a team's key as Authorization: Bearer KEY")
	}
	address, ok := entry.locate(wish.eventID)
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
	if wish.cancel {
		return cancelStream(w, stream, team, wish.eventID)
	}
	return entry.resume(w, stream, call{id: id, team: team}, wish.eventID)
}

// locate returns the address of the replica that an event id names. The
// instance is all of the id but its last three parts.
func (entry *Entry) locate(eventID string) (string, bool) {
	const numbers = 3
	parts := strings.Split(eventID, ".")
	if len(eventID) > longestEventID || len(parts) <= numbers {
		return "", false
	}
	return entry.settings.Locate(strings.Join(parts[:len(parts)-numbers], "."))
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

// resume relays the rest of a stream, from the byte behind the last event that
// the caller has.
func (entry *Entry) resume(w http.ResponseWriter, stream *encoder.Stream, call call, eventID string) error {
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
	answer := entry.newRelayed(w, call)
	answer.resumed = true
	answer.length = found.GetOffset()
	if failure, ok := answer.relay(stream); !ok {
		return failure
	}
	return nil
}
