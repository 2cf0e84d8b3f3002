package reporter

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// driveStart lies far ahead, so that deadlines on pipes, which follow the
// machine's clock, don't fire.
const driveStart = timekeeper.Instant(4102444800000)

// sites is how many data centres a driven fleet spans.
const sites = 3

var errCut = eris.New("no way to the peer")

// node is one process of a driven fleet: an agent, or an entry when it has no service.
type node struct {
	name        string
	site        string
	service     string
	incarnation uint64
	sequence    uint64
	load        int64
	state       encoder.ReplicaState
	down        bool
	exchanger   *Exchanger
	view        *View
	due         timekeeper.Instant
	budget      *budgeter.Budget
}

// drive runs the project's own exchangers in virtual time over pipes.
type drive struct {
	t       testing.TB
	manual  *timekeeper.Manual
	random  *rand.Rand
	agents  []*node
	entries []*node
	listed  []storekeeper.Instance
	cut     func(from, to *node) bool
}

func newDrive(t testing.TB, seed uint64, entries, services, replicas int) *drive {
	t.Helper()
	driven := &drive{t: t, manual: timekeeper.NewManual(driveStart), random: rand.New(rand.NewPCG(seed, seed))}
	driven.cut = func(*node, *node) bool { return false }
	for i := range services * replicas {
		agent := &node{
			name: "replica-" + strconv.Itoa(i), site: "dc-" + strconv.Itoa(i%sites), service: "service-" + strconv.Itoa(i%services),
			incarnation: uint64(i)<<32 + 1, state: encoder.ReplicaState_REPLICA_STATE_LIVE,
		}
		driven.agents = append(driven.agents, agent)
		driven.listed = append(driven.listed, storekeeper.Instance{
			Name: agent.name, Service: agent.service, Address: agent.name, Site: agent.site,
		})
	}
	for i := range entries {
		driven.entries = append(driven.entries, &node{name: "entry-" + strconv.Itoa(i), site: "dc-" + strconv.Itoa(i%sites)})
	}
	for i, one := range driven.all() {
		driven.boot(one, seed+uint64(i))
	}
	return driven
}

func (driven *drive) all() []*node {
	return slices.Concat(driven.agents, driven.entries)
}

// boot gives a node a fresh mind, as a start of its process would.
func (driven *drive) boot(one *node, seed uint64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	if one.budget == nil {
		one.budget = budgeter.New(budgeter.Settings{})
	}
	one.view = NewView(Settings{
		Directory: storekeeper.Directory{List: func(context.Context) ([]storekeeper.Instance, error) { return driven.listed, nil }},
		Clock:     driven.manual.Clock(), Log: log, Budget: one.budget, Rules: Rules{Indirect: one.service == ""},
		Service: one.service, Seed: seed,
	})
	settings := ExchangeSettings{View: one.view, Open: driven.open(one), Name: one.name, Site: one.site}
	if one.service != "" {
		settings.Self = one.digest
	}
	one.exchanger = NewExchanger(settings)
	one.due = driven.manual.Now().Add(timekeeper.Span(driven.random.Int64N(1000)))
	if err := one.view.ReadList(driven.t.Context()); err != nil {
		driven.t.Fatal(err)
	}
}

func (one *node) digest() *encoder.Digest {
	one.sequence++
	return &encoder.Digest{
		Instance: one.name, Incarnation: one.incarnation, Service: one.service, State: one.state, Load: one.load,
		Running: 3, Sequence: one.sequence, Revision: 7, Site: one.site, Address: one.name,
	}
}

// open returns how a node reaches agents: over a pipe, unless one is down or
// the way is cut.
func (driven *drive) open(from *node) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) {
		at := slices.IndexFunc(driven.agents, func(one *node) bool { return one.name == address })
		if at < 0 || driven.agents[at].down || driven.cut(from, driven.agents[at]) {
			return nil, errCut
		}
		near, far := net.Pipe()
		go serve(driven.agents[at], far)
		return near, nil
	}
}

func serve(agent *node, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stream := encoder.NewStream(conn)
	if ask, err := encoder.ReadAs(stream, (*encoder.Frame).GetDigestAsk); err == nil {
		_ = stream.Write(encoder.Of(agent.exchanger.Answer(ask)))
	}
}

// run moves time on; each node makes its rounds when they are due.
func (driven *drive) run(span timekeeper.Span, watch func()) {
	const step = 50 * timekeeper.Millisecond
	for range span / step {
		driven.manual.Advance(step)
		for _, one := range driven.all() {
			if one.down || one.due > driven.manual.Now() {
				continue
			}
			one.load = max(0, one.load+driven.random.Int64N(401)-200)
			one.exchanger.Round(driven.t.Context())
			one.due = driven.manual.Now().Add(one.exchanger.pause())
		}
		if watch != nil {
			watch()
		}
	}
}

// ages returns how old what the nodes believe of live agents is, sorted.
func (driven *drive) ages(nodes []*node) []timekeeper.Span {
	var ages []timekeeper.Span
	for _, one := range nodes {
		for _, status := range one.view.Status() {
			if status.State == "live" && status.Name != one.name {
				ages = append(ages, status.Age)
			}
		}
	}
	slices.Sort(ages)
	return ages
}

func quantile(ages []timekeeper.Span, q float64) timekeeper.Span {
	if len(ages) == 0 {
		return 0
	}
	return ages[int(q*float64(len(ages)-1))]
}

// spent returns the bytes that the nodes have spent since they started, without the list.
func spent(nodes []*node, now timekeeper.Instant) int64 {
	var total int64
	for _, one := range nodes {
		for _, cause := range one.budget.Status(now).Causes {
			if cause.Cause != budgeter.List.String() {
				total += cause.Bytes
			}
		}
	}
	return total
}
