package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/limiter"
	"github.com/trefoilseam/trefoilseam/internal/marker"
	"github.com/trefoilseam/trefoilseam/internal/replayer"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/validator"
)

// upstream is the HTTP client of the upstream instance.
type upstream struct {
	base      string
	service   resolver.Service
	pooled    *validator.Transport
	singleUse *validator.Transport
}

// newUpstream returns the HTTP client of an upstream.
//
// net/http's transport resends a request by itself when a kept connection turns out stale
// and the request looks replayable to it: an idempotent method, or any method with an
// Idempotency-Key. An order could then run twice with one Run frame. The transport replays
// only on reused connections, so calls that must not repeat use a new connection each.
func newUpstream(base string, service resolver.Service) *upstream {
	return &upstream{
		base:      strings.TrimSuffix(base, "/"),
		service:   service,
		pooled:    limiter.Transport(&http.Transport{MaxIdleConnsPerHost: service.Slots, DisableCompression: true}),
		singleUse: limiter.Transport(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
	}
}

func (up *upstream) close() {
	up.pooled.CloseIdleConnections()
	up.singleUse.CloseIdleConnections()
}

// call sends the request and copies the response into the run's answer. It returns true
// when the response is complete.
func (up *upstream) call(
	ctx context.Context, settings Settings, offer *encoder.Offer, commit *encoder.Run, started *run,
) (complete bool, failure classifier.Failure) {
	response, err := up.send(ctx, offer, commit)
	if err != nil {
		return false, sendFailure(err)
	}
	defer func() { _ = response.Body.Close() }()
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	started.answer.SetHead(&encoder.Head{
		RequestId:   started.id,
		Incarnation: settings.Incarnation,
		Status:      uint32(response.StatusCode),
		Headers:     up.headers(settings, response.Header),
		Stream:      stream,
	})
	ending := terminal{needed: stream && up.service.Kind == resolver.KindModel}
	if err := copyBody(ctx, up.markEvents(response.Body, ending.needed, settings, started), started.answer, &ending); err != nil {
		return false, classifier.New(classifier.AnswerCut, err.Error())
	}
	// HTTP 200 is not completion ("Why the Next Model Request Still Queues After HTTP
	// 200", section 4): a stream is complete only when its terminal event has been
	// received.
	if !ending.seen() {
		return false, classifier.New(classifier.AnswerCut, missingTerminal)
	}
	return true, classifier.Failure{}
}

func (up *upstream) send(ctx context.Context, offer *encoder.Offer, commit *encoder.Run) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, commit.GetMethod(), up.base+commit.GetPath(), bytes.NewReader(commit.GetBody()))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	for _, header := range commit.GetHeaders() {
		request.Header.Add(header.GetName(), header.GetValue())
	}
	up.setChatHeader(request, offer.GetChat())
	if offer.GetIdempotent() {
		return up.pooled.RoundTrip(request)
	}
	return up.singleUse.RoundTrip(request)
}

// headers returns the upstream's headers without hop-by-hop headers and the content
// length, plus the headers that the agent adds.
func (up *upstream) headers(settings Settings, header http.Header) []*encoder.Header {
	var out []*encoder.Header
	for name, values := range header {
		if encoder.HopByHop(name) || name == "Content-Length" {
			continue
		}
		for _, value := range values {
			out = append(out, &encoder.Header{Name: name, Value: value})
		}
	}
	out = append(out, &encoder.Header{Name: encoder.UpstreamHeader, Value: settings.Name})
	if up.service.CachedHeader != "" {
		if cached := header.Get(up.service.CachedHeader); cached != "" {
			out = append(out, &encoder.Header{Name: encoder.CachedHeader, Value: cached})
		}
	}
	return out
}

// markEvents inserts an event id into each event of a stream that a caller may resume.
func (up *upstream) markEvents(body io.Reader, stream bool, settings Settings, started *run) io.Reader {
	if !stream {
		return body
	}
	id := marker.EventID{Instance: settings.Name, IncarnationHash: marker.HashIncarnation(settings.Incarnation), Serial: started.serial}
	return &markedReader{body: body, marker: marker.New(id)}
}

// markedReader reads a stream through a Marker. It reuses its two buffers for each part,
// since a stream has a part for every token.
type markedReader struct {
	body   io.Reader
	marker *marker.Marker
	part   []byte
	marked []byte
	ready  []byte
	err    error
}

// Read returns marked bytes. An incomplete event is returned only at the end of the
// stream.
func (reader *markedReader) Read(out []byte) (int, error) {
	for len(reader.ready) == 0 && reader.err == nil {
		reader.fill(len(out))
	}
	if len(reader.ready) == 0 {
		return 0, reader.err
	}
	n := copy(out, reader.ready)
	reader.ready = reader.ready[n:]
	return n, nil
}

func (reader *markedReader) fill(size int) {
	if reader.part == nil {
		reader.part = make([]byte, size)
	}
	n, err := reader.body.Read(reader.part)
	marked, errMark := reader.marker.Mark(reader.marked[:0], reader.part[:n])
	reader.marked, reader.ready, reader.err = marked, marked, err
	if errMark != nil {
		reader.err = errMark
	}
	if err == io.EOF {
		reader.ready = append(reader.ready, reader.marker.Rest()...)
	}
}

func copyBody(ctx context.Context, body io.Reader, answer *replayer.Answer, ending *terminal) error {
	buffer := make([]byte, replayer.ChunkSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			ending.observe(buffer[:n])
			if err := answer.Add(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// terminal checks the tail of a stream for the event that ends it.
type terminal struct {
	needed bool
	tail   []byte
}

const doneEvent = "data: [DONE]"

func (ending *terminal) observe(part []byte) {
	const tailLength = 64
	ending.tail = append(ending.tail, part...)
	if len(ending.tail) > tailLength {
		ending.tail = append([]byte(nil), ending.tail[len(ending.tail)-tailLength:]...)
	}
}

func (ending *terminal) seen() bool {
	return !ending.needed || strings.HasSuffix(strings.TrimSpace(string(ending.tail)), doneEvent)
}
