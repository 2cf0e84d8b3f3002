package reporter

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// RoundInterval is the time between two rounds. An update that every agent has
	// reaches an entry within one round. A leaving upstream may still get work for
	// two seconds, so its notice has the other second to reach the agents.
	RoundInterval = timekeeper.Second
	// quickRounds is the number of short rounds after a start, which fill the view
	// quickly.
	quickRounds   = 4
	quickInterval = 100 * timekeeper.Millisecond
	// askTimeout bounds one exchange. It is shorter than a round, so that a peer
	// that accepts data and never answers costs one round and delays no other.
	askTimeout = 400 * timekeeper.Millisecond
	// messageLimit is the size of a message between agents in bytes, about 128 load
	// rows. It keeps an agent's traffic from growing with its service.
	messageLimit = 1408
	// entryLoadLimit is the size in bytes of the load rows that an entry requests in
	// a round, divided among all services. An entry receives all updates whatever
	// their size. It needs loads only as initial estimates, since agents enforce the
	// bound on load.
	entryLoadLimit = 1024
	// streamOverhead is the size in bytes of an exchange besides its two messages: yamux
	// headers of 12 bytes to open, send, answer and close, and frame lengths.
	streamOverhead = 96
	// announceWorkers bounds how many peers are notified of a leave concurrently.
	announceWorkers = 16
)

// Exchanger exchanges digests with peers on behalf of a view.
type Exchanger struct {
	view     *View
	budget   *budgeter.Budget
	clock    timekeeper.Clock
	open     func(ctx context.Context, address string) (net.Conn, error)
	name     string
	site     string
	seeds    []string
	self     func() *encoder.Digest
	interval timekeeper.Span
	// limit is the size of a message between agents in bytes.
	limit int
	// loadLimit is the size in bytes of the load rows that an entry requests in a
	// round.
	loadLimit int

	mu         sync.Mutex
	rounds     int
	unknownIDs []uint32
	// contacts and answeredAt are by service, positions by the name of an agent.
	contacts   map[string]contact
	positions  map[string]tablePosition
	answeredAt map[string]timekeeper.Instant
}

// contact is the agent that an entry queries about a service.
type contact struct {
	name string
	site string
}

// tablePosition is the version up to which the entry has read one agent's table.
type tablePosition struct {
	incarnation uint64
	version     uint64
}

// ExchangeSettings set up an exchanger. All fields without a stated default must be set.
type ExchangeSettings struct {
	View *View
	// Open returns a stream to the peer at an address.
	Open func(ctx context.Context, address string) (net.Conn, error)
	Name string
	Site string
	// Seeds are addresses of agents to query when no replica is known.
	Seeds []string
	// Self returns the agent's own digest; nil for an entry.
	Self func() *encoder.Digest
	// Interval is the time between two rounds; zero means RoundInterval.
	Interval timekeeper.Span
}

// NewExchanger returns an exchanger that has contacted no peer yet.
func NewExchanger(settings ExchangeSettings) *Exchanger {
	if settings.Interval == 0 {
		settings.Interval = RoundInterval
	}
	return &Exchanger{
		view: settings.View, budget: settings.View.settings.Budget, clock: settings.View.settings.Clock,
		open: settings.Open, name: settings.Name, site: settings.Site, seeds: settings.Seeds, self: settings.Self,
		interval: settings.Interval, limit: messageLimit, loadLimit: entryLoadLimit, contacts: map[string]contact{}, positions: map[string]tablePosition{}, answeredAt: map[string]timekeeper.Instant{},
	}
}

// Run makes rounds until ctx ends.
func (exchanger *Exchanger) Run(ctx context.Context) {
	exchanger.clock.Every(ctx, exchanger.nextInterval, exchanger.Round)
}

// nextInterval returns the time to the next round, with a jitter of an eighth to
// either side.
func (exchanger *Exchanger) nextInterval() timekeeper.Span {
	exchanger.mu.Lock()
	rounds := exchanger.rounds
	exchanger.rounds++
	exchanger.mu.Unlock()
	interval := exchanger.interval
	if rounds < quickRounds {
		interval = min(interval, quickInterval)
	}
	// An entry's interval isn't doubled, since a leave must reach it within two seconds.
	if exchanger.self != nil && exchanger.budget.Level(exchanger.clock.Now()) >= budgeter.Short {
		interval *= 2
	}
	return interval*7/8 + timekeeper.Span(exchanger.random(int64(interval/4)+1))
}

func (exchanger *Exchanger) random(below int64) int64 {
	exchanger.view.mu.Lock()
	defer exchanger.view.mu.Unlock()
	return exchanger.view.random.Int64N(below)
}

// Round makes one round: an agent exchanges digests with one peer, an entry
// queries one agent of each service.
func (exchanger *Exchanger) Round(ctx context.Context) {
	if exchanger.self != nil {
		exchanger.agentRound(ctx)
	} else {
		exchanger.entryRound(ctx)
	}
	exchanger.view.Evaluate()
}

// query returns what a message may contain at the budget's current level.
func (exchanger *Exchanger) query(limit int) Query {
	switch level := exchanger.budget.Level(exchanger.clock.Now()); {
	case level >= budgeter.Spent, level >= budgeter.Short && exchanger.self == nil:
		return Query{Limit: limit, WithoutLoads: true}
	case level >= budgeter.Tight:
		return Query{Limit: limit / 2}
	}
	return Query{Limit: limit}
}

// ask makes one exchange with the agent at an address and counts its bytes.
func (exchanger *Exchanger) ask(
	ctx context.Context, address string, cause budgeter.Cause, ask *encoder.DigestAsk,
) (*encoder.Digests, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	conn, err := exchanger.open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	// Closing a yamux stream doesn't wake its reader; a deadline does.
	_ = conn.SetDeadline(exchanger.clock.Now().Add(askTimeout).Time())
	stream := encoder.NewStream(conn)
	exchanger.spend(cause, streamOverhead+proto.Size(ask))
	if err := stream.Write(encoder.Of(ask)); err != nil {
		return nil, err
	}
	answer, err := encoder.ReadAs(stream, (*encoder.Frame).GetDigests)
	if err != nil {
		return nil, eris.Wrap(err, "read digests")
	}
	exchanger.spend(cause, proto.Size(answer))
	return answer, nil
}

func (exchanger *Exchanger) spend(cause budgeter.Cause, bytes int) {
	exchanger.budget.Spend(exchanger.clock.Now(), cause, int64(bytes))
}

// Answer merges the digests that a peer sent and returns the answer to its query.
func (exchanger *Exchanger) Answer(ask *encoder.DigestAsk) *encoder.Digests {
	digest := exchanger.self()
	service := digest.GetService()
	query := exchanger.query(exchanger.answerLimit(ask))
	query.KnownVersion, query.UnknownIDs, query.IncludeDead = ask.GetKnown(), ask.GetWanted(), ask.GetOwn() == nil
	query.Recent = ask.GetOwn() != nil || ask.GetRecent()
	query.PeerLoads = ask.GetOwn().GetLoads()
	cause := budgeter.Digest
	var answer *encoder.Digests
	exchanger.view.withTable(service, func(table *Table, now timekeeper.Instant) {
		table.Merge(now, digest)
		if ask.GetOwn() != nil && ask.GetService() == service {
			exchanger.addUnknown(table.Unpack(now, ask.GetOwn()))
		}
		answer = table.Pack(now, query)
		answer.From, answer.Incarnation = exchanger.name, digest.GetIncarnation()
		answer.Service = service
	})
	exchanger.spend(cause, streamOverhead+proto.Size(ask)+proto.Size(answer))
	return answer
}

func (exchanger *Exchanger) answerLimit(ask *encoder.DigestAsk) int {
	if limit := int(ask.GetLimit()); limit > 0 {
		return min(limit, maxAnswerSize)
	}
	return exchanger.limit
}

// maxAnswerSize bounds the limit in bytes that a peer may request for an answer. It
// leaves room for the whole table of a large service.
const maxAnswerSize = 64 << 10

func (exchanger *Exchanger) addUnknown(ids []uint32) {
	const maxUnknown = 32
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	for _, key := range ids {
		if len(exchanger.unknownIDs) < maxUnknown && !slices.Contains(exchanger.unknownIDs, key) {
			exchanger.unknownIDs = append(exchanger.unknownIDs, key)
		}
	}
}

func (exchanger *Exchanger) takeUnknown() []uint32 {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	unknownIDs := exchanger.unknownIDs
	exchanger.unknownIDs = nil
	return unknownIDs
}
