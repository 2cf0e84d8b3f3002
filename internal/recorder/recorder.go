package recorder

import (
	"bytes"
	"cmp"
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings configure a recorder. Fields without a stated default are required.
type Settings struct {
	Origin  Origin
	Objects storekeeper.Objects
	Clock   timekeeper.Clock
	Log     logrus.FieldLogger
	// HeartbeatInterval is the time between two heartbeats; zero means 5 seconds.
	HeartbeatInterval timekeeper.Span
	// FlushInterval is the longest time that a record waits until its segment is
	// sealed; zero means 5 seconds.
	FlushInterval timekeeper.Span
	// Processes returns how many processes write records now; the flush interval
	// grows with this number. Nil means that the number is unknown.
	Processes func() int
	// SegmentBytes is the size before compression at which a segment is sealed early;
	// zero means 256 KiB.
	SegmentBytes int
	// BacklogBytes bounds the segments that wait to be stored; zero means 8 MiB.
	BacklogBytes int
	// QueueLength is the capacity of the event queue; zero means 8192.
	QueueLength int
	// StopTimeout bounds the last flush; zero means 5 seconds.
	StopTimeout timekeeper.Span
}

const (
	// minFlushInterval is the flush interval of a small fleet.
	minFlushInterval = 5 * timekeeper.Second
	// flushIntervalPerProcess times the number of processes is the least flush
	// interval. It limits the fleet to 100 segments a second, out of the several
	// hundred writes a second that the store serves.
	flushIntervalPerProcess = 10 * timekeeper.Millisecond
	// initialBackoff is the longest wait before the first retry of a segment. It
	// doubles with each failure, up to maxBackoff.
	initialBackoff = 200 * timekeeper.Millisecond
	maxBackoff     = 15 * timekeeper.Second
	// putTimeout bounds one attempt to store a segment.
	putTimeout = 5 * timekeeper.Second
)

// FlushInterval returns the flush interval of each process in a fleet of the
// given number of processes.
//
// Thousands of processes may share one store: each write is small, but the rate
// grows with the fleet, and the store serves several hundred writes a second in
// total. Above 500 processes the interval grows, so that the record never takes
// more than 100 writes a second.
func FlushInterval(processes int) timekeeper.Span {
	return max(minFlushInterval, timekeeper.Span(processes)*flushIntervalPerProcess)
}

func (settings Settings) withDefaults() Settings {
	settings.HeartbeatInterval = cmp.Or(settings.HeartbeatInterval, 5*timekeeper.Second)
	settings.FlushInterval = cmp.Or(settings.FlushInterval, minFlushInterval)
	settings.SegmentBytes = cmp.Or(settings.SegmentBytes, 256<<10)
	settings.BacklogBytes = cmp.Or(settings.BacklogBytes, 8<<20)
	settings.QueueLength = cmp.Or(settings.QueueLength, 8192)
	settings.StopTimeout = cmp.Or(settings.StopTimeout, 5*timekeeper.Second)
	return settings
}

// flushInterval returns the time to the next flush for the current size of the fleet.
func (settings Settings) flushInterval() timekeeper.Span {
	if settings.Processes == nil {
		return settings.FlushInterval
	}
	return max(settings.FlushInterval, FlushInterval(settings.Processes()))
}

// Recorder writes the record of one process.
//
// mu is the only lock. It is not held during I/O, and Record never takes it.
type Recorder struct {
	settings  Settings
	events    chan Event
	dropped   atomic.Int64
	heartbeat atomic.Pointer[func() Event]
	wake      chan struct{}
	stopping  chan struct{}

	mu       sync.Mutex
	backlog  *Backlog
	stopOnce sync.Once
}

// New returns a recorder whose record begins with started, and a function that
// records Stopped, flushes, and waits up to StopTimeout for the store.
func New(settings Settings, started Event) (*Recorder, func()) {
	settings = settings.withDefaults()
	recorder := &Recorder{
		settings: settings,
		events:   make(chan Event, settings.QueueLength),
		wake:     make(chan struct{}, 1),
		stopping: make(chan struct{}),
		backlog:  NewBacklog(settings.BacklogBytes),
	}
	recorder.SetHeartbeat(func() Event { return Event{Kind: Alive} })
	started.Kind = Started
	recorder.Record(started)
	ctx, cancel := context.WithCancel(context.Background())
	var chained, stored sync.WaitGroup
	chained.Go(recorder.appendEvents)
	stored.Go(func() { recorder.storeSegments(ctx) })
	return recorder, func() { recorder.stop(&chained, &stored, cancel) }
}

// Record queues an event. It neither blocks nor allocates: the request path
// pays only for a copy into the queue. When the queue is full, Record drops and
// counts the event, and a Gap event declares the count.
func (recorder *Recorder) Record(event Event) {
	if event.At == 0 {
		event.At = recorder.settings.Clock.Now()
	}
	select {
	case recorder.events <- event:
	default:
		recorder.dropped.Add(1)
	}
}

// appendEvents adds queued events and heartbeats to the chain and seals its segments
// until the recorder stops. It runs in the one goroutine that owns the chain.
func (recorder *Recorder) appendEvents() {
	chain := NewChain(recorder.settings.Origin)
	flush, stopFlush := recorder.settings.Clock.After(recorder.settings.flushInterval())
	heartbeat, stopHeartbeat := recorder.settings.Clock.After(recorder.settings.HeartbeatInterval)
	defer func() { stopFlush(); stopHeartbeat() }()
	for {
		select {
		case event := <-recorder.events:
			recorder.add(chain, event)
		case <-heartbeat:
			recorder.add(chain, recorder.heartbeatEvent())
			heartbeat, stopHeartbeat = recorder.settings.Clock.After(recorder.settings.HeartbeatInterval)
		case <-flush:
			recorder.seal(chain)
			flush, stopFlush = recorder.settings.Clock.After(recorder.settings.flushInterval())
		case <-recorder.stopping:
			recorder.closeChain(chain)
			return
		}
	}
}

// SetHeartbeat sets the function that returns the heartbeat event, which holds the
// process's state. It is recorded every HeartbeatInterval to show that an idle
// process is running.
func (recorder *Recorder) SetHeartbeat(heartbeat func() Event) {
	recorder.heartbeat.Store(&heartbeat)
}

func (recorder *Recorder) heartbeatEvent() Event {
	event := (*recorder.heartbeat.Load())()
	event.At = recorder.settings.Clock.Now()
	return event
}

func (recorder *Recorder) add(chain *Chain, event Event) {
	recorder.declareDropped(chain)
	if chain.Add(event) >= recorder.settings.SegmentBytes {
		recorder.seal(chain)
	}
}

// declareDropped records how many events were dropped because the queue was full.
func (recorder *Recorder) declareDropped(chain *Chain) {
	if dropped := recorder.dropped.Swap(0); dropped > 0 {
		chain.Add(Event{At: recorder.settings.Clock.Now(), Kind: Gap, Detail: LostInQueue, Count: dropped})
	}
}

// seal closes the open segment and adds it to the backlog.
func (recorder *Recorder) seal(chain *Chain) {
	segment, ok := chain.Seal()
	if !ok {
		return
	}
	recorder.mu.Lock()
	gaps := recorder.backlog.Push(segment)
	recorder.mu.Unlock()
	for _, gap := range gaps {
		gap.At = recorder.settings.Clock.Now()
		chain.Add(gap)
		recorder.settings.Log.WithFields(logrus.Fields{"first": gap.First, "last": gap.Last}).Error("unstored records dropped, the backlog is full")
	}
	recorder.wakeStorer()
}

// wakeStorer wakes the goroutine that stores segments.
func (recorder *Recorder) wakeStorer() {
	select {
	case recorder.wake <- struct{}{}:
	default:
	}
}

// closeChain records the queued events and Stopped, and seals the last segment.
func (recorder *Recorder) closeChain(chain *Chain) {
	for {
		select {
		case event := <-recorder.events:
			recorder.add(chain, event)
			continue
		default:
		}
		break
	}
	recorder.declareDropped(chain)
	// Sealing may drop segments; the Gap events that declare them must come before
	// Stopped.
	recorder.seal(chain)
	chain.Add(Event{At: recorder.settings.Clock.Now(), Kind: Stopped})
	last, _ := chain.Seal()
	recorder.mu.Lock()
	recorder.backlog.PushLast(last)
	recorder.mu.Unlock()
	recorder.wakeStorer()
}

func (recorder *Recorder) stop(chained, stored *sync.WaitGroup, cancel func()) {
	recorder.stopOnce.Do(func() {
		close(recorder.stopping)
		chained.Wait()
		close(recorder.wake)
		timeout, release := recorder.settings.Clock.After(recorder.settings.StopTimeout)
		defer release()
		done := make(chan struct{})
		go func() { stored.Wait(); close(done) }()
		select {
		case <-done:
		case <-timeout:
			recorder.settings.Log.Error("recorder stopped before the last segments were stored")
		}
		cancel()
		<-done
	})
}

// storeSegments stores the segments of the backlog, the oldest first, until the
// recorder has stopped. It runs in the one goroutine that writes to the store.
func (recorder *Recorder) storeSegments(ctx context.Context) {
	jitter := rand.New(rand.NewPCG(recorder.settings.Origin.Incarnation, 0))
	backoff := initialBackoff
	for {
		segment, ok := recorder.oldest()
		if !ok {
			if _, open := <-recorder.wake; !open && recorder.backlogEmpty() {
				return
			}
			continue
		}
		err := recorder.put(ctx, segment)
		if err == nil {
			recorder.markStored(segment)
			backoff = initialBackoff
			continue
		}
		recorder.settings.Log.WithError(err).WithField("segment", segment.Name()).Warn("segment not stored")
		// Full jitter: after an outage, thousands of processes must not retry in
		// step and bring the store down again.
		if recorder.settings.Clock.Sleep(ctx, 1+timekeeper.Span(jitter.Int64N(int64(backoff)))) != nil {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (recorder *Recorder) oldest() (Segment, bool) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.backlog.Oldest()
}

func (recorder *Recorder) backlogEmpty() bool {
	_, more := recorder.oldest()
	return !more
}

// markStored removes a segment from the backlog. It logs the segment's link, since
// the log is kept elsewhere: a chain that is forged as a whole has other links.
func (recorder *Recorder) markStored(segment Segment) {
	recorder.mu.Lock()
	recorder.backlog.MarkStored(segment.First)
	recorder.mu.Unlock()
	recorder.settings.Log.WithFields(logrus.Fields{
		"segment": segment.Name(),
		"records": segment.Records(),
		"link":    hex.EncodeToString(segment.Link[:]),
	}).Info("segment stored")
}

// put stores a segment. If the response to a write is lost after the write took
// effect, each retry finds the name taken; without the read back the segment
// would be retried forever and the backlog would overflow. The name is unique to
// this incarnation, so the object under it shows whether the segment is stored.
func (recorder *Recorder) put(ctx context.Context, segment Segment) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout.Duration())
	defer cancel()
	err := recorder.settings.Objects.Put(ctx, segment.Name(), segment.Body)
	uncertain := eris.Is(err, storekeeper.ErrUnknown) || eris.Is(err, storekeeper.ErrConflict)
	if !uncertain {
		return err
	}
	existing, readErr := recorder.settings.Objects.Get(ctx, segment.Name())
	if readErr != nil {
		return err
	}
	if !bytes.Equal(existing, segment.Body) {
		recorder.settings.Log.WithField("segment", segment.Name()).Error("a different segment is stored under this name")
	}
	return nil
}
