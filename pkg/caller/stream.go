package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Event is one server-sent event of a stream.
type Event struct {
	ID   string
	Data string
}

// doneData is the data of the event that ends a whole stream.
const doneData = "[DONE]"

// ErrCut says that a stream ended before its terminal and could not be resumed.
var ErrCut = eris.New("the stream was cut")

// Stream makes a call whose answer is a stream and hands each event to take,
// in order, each once. When the connection breaks it resumes behind the last
// event that take has had. It returns nil only when the stream's terminal
// came; an error of take ends the stream and is returned.
func (caller *Caller) Stream(ctx context.Context, call Call, take func(event Event) error) error {
	var last progress
	var failed error
	pause := caller.settings.Pause
	for try, idle := 0, 0; idle < caller.settings.Tries; try++ {
		before := last.events
		whole, err := caller.follow(ctx, call, try, &last, take)
		if whole {
			return nil
		}
		var stop stopped
		if eris.As(err, &stop) {
			return stop.err
		}
		failed = err
		idle++
		if last.events > before {
			idle, pause = 0, caller.settings.Pause
		}
		if last.events > 0 && last.id == "" {
			// Without an id there is no way back to the place behind it.
			break
		}
		var refused refusedFor
		_ = eris.As(err, &refused)
		if caller.wait(ctx, max(pause, refused.wait)) != nil {
			break
		}
		pause *= 2
	}
	return eris.Wrap(ErrCut, failed.Error())
}

// progress is how far a stream has come.
type progress struct {
	id     string
	events int
}

// stopped is an error after which the stream is not tried again.
type stopped struct {
	err error
}

// Error returns the text of the error inside.
func (stop stopped) Error() string {
	return stop.err.Error()
}

// refusedFor is a refusal that names a time to come back.
type refusedFor struct {
	Problem
	wait timekeeper.Span
}

// follow reads one connection's part of the stream.
func (caller *Caller) follow(
	ctx context.Context, call Call, try int, last *progress, take func(event Event) error,
) (bool, error) {
	if last.id != "" {
		call = call.resumedFrom(last.id)
	}
	response, err := caller.do(ctx, call, try)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, refusal(response)
	}
	events := bufio.NewReader(response.Body)
	for {
		event, err := readEvent(events)
		if err != nil {
			return false, err
		}
		if event.Data == doneData {
			return true, nil
		}
		if err := take(event); err != nil {
			return false, stopped{err}
		}
		last.events++
		if event.ID != "" {
			last.id = event.ID
		}
	}
}

func (call Call) resumedFrom(id string) Call {
	header := http.Header{}
	if call.Header != nil {
		header = call.Header.Clone()
	}
	header.Set("Last-Event-ID", id)
	call.Header = header
	return call
}

// refusal reads a refusal; one that no resend can help is stopped.
func refusal(response *http.Response) error {
	const limit = 64 << 10
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return err
	}
	problem, ok := problemOf(response.Header, body)
	if !ok {
		return stopped{eris.Errorf("status %d", response.StatusCode)}
	}
	outcome := outcomeOf(problem, response.Header)
	if outcome.wait == 0 {
		return stopped{problem}
	}
	return refusedFor{Problem: problem, wait: outcome.wait}
}

// readEvent reads one event. It returns io.ErrUnexpectedEOF when the stream
// ends, since a whole stream ends with its terminal.
func readEvent(in *bufio.Reader) (Event, error) {
	var event Event
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return Event{}, io.ErrUnexpectedEOF
		}
		line = strings.TrimRight(line, "\r\n")
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && event.Data != "":
			return event, nil
		case field == "id":
			event.ID = value
		case field == "data" && event.Data != "":
			event.Data += "\n" + value
		case field == "data":
			event.Data = value
		}
	}
}
