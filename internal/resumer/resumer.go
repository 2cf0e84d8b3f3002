package resumer

import (
	"context"
	"slices"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// askInterval is the time after which peers that haven't answered are asked again, and
	// askTimeout how long their answers are waited for. Peers answer within a round trip.
	askInterval = 60 * timekeeper.Millisecond
	askTimeout  = 180 * timekeeper.Millisecond
)

// Settings set up a resumer. All fields must be set.
type Settings struct {
	Clock timekeeper.Clock
	// Peers returns the addresses of the live peers.
	Peers func() []string
	// Alone reports whether there has been no peer for as long as one may be cut off.
	Alone func() bool
	// Send sends a message to a peer. It doesn't wait, and the message may be lost.
	Send func(peer string, message Message)
	// Versions returns what this entry has seen of a service.
	Versions func(service string) Versions
}

// Resumer keeps the records of an entry. It is safe for concurrent use; the functions of its
// settings are called without its lock.
type Resumer struct {
	settings Settings

	mu      sync.Mutex
	table   *table
	lookups map[Key][]*waitingLookup
}

// waitingLookup is a lookup whose caller waits; ended is closed once it has ended.
type waitingLookup struct {
	*lookup
	ended    chan struct{}
	hasEnded bool
}

// New returns a resumer without records.
func New(settings Settings) *Resumer {
	return &Resumer{settings: settings, table: newTable(maxRecords), lookups: map[Key][]*waitingLookup{}}
}

// Record keeps a record and sends it to the peers that keep it as well.
func (resumer *Resumer) Record(record Record) {
	now := resumer.settings.Clock.Now()
	resumer.mu.Lock()
	resumer.table.put(record, now)
	resumer.mu.Unlock()
	for _, peer := range holders(record.Key, resumer.settings.Peers()) {
		resumer.settings.Send(peer, Message{Records: []Record{record}})
	}
}

// Find returns where a stream began. It asks peers, for askTimeout at most, unless this entry has a
// record.
func (resumer *Resumer) Find(ctx context.Context, question Question) Finding {
	now := resumer.settings.Clock.Now()
	resumer.mu.Lock()
	origin, found := resumer.table.find(question.Key, now)
	resumer.mu.Unlock()
	switch {
	case found && !origin.Known():
		return Finding{Source: ReusedID}
	case found:
		return Finding{Origin: origin, Source: FromRecord}
	}
	peers := holders(question.Key, resumer.settings.Peers())
	waiting := &waitingLookup{lookup: newLookup(question, peers, resumer.settings.Alone()), ended: make(chan struct{})}
	if len(waiting.pending) > 0 {
		resumer.ask(ctx, waiting)
	}
	own := resumer.settings.Versions(question.Service)
	resumer.mu.Lock()
	defer resumer.mu.Unlock()
	return waiting.conclude(own)
}

// ask asks the peers of a lookup until it ends, ctx ends or askTimeout has passed.
func (resumer *Resumer) ask(ctx context.Context, waiting *waitingLookup) {
	key := waiting.question.Key
	resumer.mu.Lock()
	resumer.lookups[key] = append(resumer.lookups[key], waiting)
	resumer.mu.Unlock()
	defer resumer.forget(waiting)
	for waited := timekeeper.Span(0); waited < askTimeout; waited += askInterval {
		resumer.mu.Lock()
		pending := waiting.pending
		resumer.mu.Unlock()
		for _, peer := range pending {
			resumer.settings.Send(peer, Message{Questions: []Question{waiting.question}})
		}
		fired, release := resumer.settings.Clock.After(askInterval)
		select {
		case <-ctx.Done():
			release()
			return
		case <-waiting.ended:
			release()
			return
		case <-fired:
			release()
		}
	}
}

func (resumer *Resumer) forget(waiting *waitingLookup) {
	key := waiting.question.Key
	resumer.mu.Lock()
	defer resumer.mu.Unlock()
	rest := slices.DeleteFunc(resumer.lookups[key], func(other *waitingLookup) bool { return other == waiting })
	if len(rest) == 0 {
		delete(resumer.lookups, key)
		return
	}
	resumer.lookups[key] = rest
}

// Handle handles a message of a peer.
func (resumer *Resumer) Handle(peer string, message Message) {
	now := resumer.settings.Clock.Now()
	resumer.mu.Lock()
	for _, record := range message.Records {
		resumer.table.put(record, now)
	}
	for _, answer := range message.Answers {
		resumer.addAnswer(peer, answer)
	}
	resumer.mu.Unlock()
	if len(message.Questions) == 0 {
		return
	}
	var reply Message
	for _, question := range message.Questions {
		reply.Answers = append(reply.Answers, resumer.answer(question, now))
	}
	resumer.settings.Send(peer, reply)
}

// addAnswer adds an answer to the lookups that wait for it. The caller holds the lock.
func (resumer *Resumer) addAnswer(peer string, answer Answer) {
	for _, waiting := range resumer.lookups[answer.Key] {
		if waiting.add(peer, answer) && !waiting.hasEnded {
			waiting.hasEnded = true
			close(waiting.ended)
		}
	}
}

// answer returns what this entry knows about a stream.
func (resumer *Resumer) answer(question Question, now timekeeper.Instant) Answer {
	resumer.mu.Lock()
	origin, known := resumer.table.find(question.Key, now)
	resumer.mu.Unlock()
	if known {
		return Answer{Key: question.Key, Known: true, Origin: origin}
	}
	return Answer{Key: question.Key, Versions: resumer.settings.Versions(question.Service)}
}
