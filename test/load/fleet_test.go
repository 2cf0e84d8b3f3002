package load

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/retrier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// member is one replica of the fleet.
type member struct {
	name       string
	controller *admitter.Controller
	cache      *cache
	known      *placer.Directory
	born       timekeeper.Instant
	life       int
	slow       float64
	// busy counts the calls of each chat that wait or run here.
	busy map[uint64]int
}

func (request request) work() int64 { return request.prompt + request.made }

// policy is a way to choose replicas. Order is nil for the system's own way.
type policy struct {
	name   string
	limits admitter.Limits
	order  func(fleet *fleet, request request) []string
	plain  bool
	// fetch lets a replica fetch the prefix of a call that it took.
	fetch bool
	// report is how often agents learn the load of the whole service; zero
	// means that they always know it.
	report timekeeper.Span
}

// result is what became of a request.
type result struct {
	request
	served bool
	wait   timekeeper.Span
	offers int
}

// event is something that happens at an instant.
type event struct {
	at   timekeeper.Instant
	turn int
	do   func()
}

type agenda []event

func (agenda agenda) Len() int { return len(agenda) }
func (agenda agenda) Less(i, j int) bool {
	return agenda[i].at < agenda[j].at || agenda[i].at == agenda[j].at && agenda[i].turn < agenda[j].turn
}
func (agenda agenda) Swap(i, j int) { agenda[i], agenda[j] = agenda[j], agenda[i] }
func (agenda *agenda) Push(x any)   { *agenda = append(*agenda, x.(event)) }
func (agenda *agenda) Pop() any {
	last := (*agenda)[len(*agenda)-1]
	*agenda = (*agenda)[:len(*agenda)-1]
	return last
}

// fleet is one service under one policy.
type fleet struct {
	policy  policy
	random  *rand.Rand
	now     timekeeper.Instant
	turn    int
	agenda  agenda
	room    int64
	members map[string]*member
	roster  placer.Roster
	// far is the roster of every other entry, which learns of a change so much
	// later; zero means that all entries learn together.
	far    placer.Roster
	farLag timekeeper.Span
	// believed is the room that agents take their engine's cache to have.
	believed int64
	// lag is how late entries learn of a change; settle is the agents' time.
	lag, settle timekeeper.Span
	// told is the total that agents were told last, at toldAt.
	told     int64
	toldAt   timekeeper.Instant
	budget   *retrier.Budget
	waiting  map[string]request
	results  map[string]*result
	cached   int64
	fetched  int64
	prompted int64
	// worst is the most that a replica held at an admission, over the mean.
	worst float64
}

func newFleet(policy policy, replicas int, room int64) *fleet {
	fleet := &fleet{
		policy: policy, random: rand.New(rand.NewPCG(11, 13)), room: room,
		believed: room, members: map[string]*member{}, budget: retrier.NewBudget(retrier.Settings{}),
		waiting: map[string]request{}, results: map[string]*result{}, settle: 10 * timekeeper.Minute,
	}
	for i := range replicas {
		fleet.join(fmt.Sprintf("replica-%d", i+1))
		fleet.members[fmt.Sprintf("replica-%d", i+1)].born = -timekeeper.Instant(timekeeper.Hour)
	}
	fleet.look()
	return fleet
}

func (fleet *fleet) at(at timekeeper.Instant, do func()) {
	fleet.turn++
	heap.Push(&fleet.agenda, event{at, fleet.turn, do})
}

func (fleet *fleet) run() {
	for len(fleet.agenda) > 0 {
		next := heap.Pop(&fleet.agenda).(event)
		fleet.now = next.at
		next.do()
	}
}

func (fleet *fleet) names() []string {
	names := make([]string, 0, len(fleet.members))
	for name := range fleet.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// look brings the entries' view up to date.
func (fleet *fleet) look() {
	replicas := make([]placer.Replica, 0, len(fleet.members))
	for _, name := range fleet.names() {
		replicas = append(replicas, placer.Replica{Name: name})
	}
	fleet.roster = placer.NewRoster(replicas)
	told := fleet.roster
	fleet.at(fleet.now.Add(fleet.farLag), func() { fleet.far = told })
}

// entry returns the roster of the entry that a call comes through.
func (fleet *fleet) entry() placer.Roster {
	if fleet.farLag == 0 || fleet.random.IntN(2) == 0 {
		return fleet.roster
	}
	return fleet.far
}

func (fleet *fleet) join(name string) {
	fleet.turn++
	fleet.members[name] = &member{
		name: name, controller: admitter.NewController(fleet.policy.limits), cache: newCache(fleet.room),
		known: placer.NewDirectory(placer.DirectorySettings{Self: name, CacheTokens: fleet.believed}), born: fleet.now, life: fleet.turn, slow: 1, busy: map[uint64]int{},
	}
	fleet.at(fleet.now.Add(fleet.lag), fleet.look)
}

// crash ends a replica with all it held.
func (fleet *fleet) crash(name string) {
	delete(fleet.members, name)
	fleet.at(fleet.now.Add(fleet.lag), fleet.look)
}

// leave ends a replica in the planned way: it hands its chats over first.
func (fleet *fleet) leave(name string) {
	gone := fleet.members[name]
	delete(fleet.members, name)
	fleet.look()
	if fleet.policy.name == oracleName {
		fleet.scatter(gone)
	}
	if fleet.policy.plain {
		return
	}
	for _, move := range gone.known.Handover(fleet.roster, placer.DirectorySize) {
		home := fleet.members[move.To[0].Name]
		if move.Holder != "" {
			home.known.Record(move.Chat, move.Holder, 0)
			continue
		}
		tokens := gone.cache.tokens(move.Chat)
		for _, replica := range move.To {
			to := fleet.members[replica.Name]
			if tokens > 0 && to.cache.used+tokens <= to.cache.room {
				to.cache.put(move.Chat, tokens)
				to.known.Record(move.Chat, to.name, tokens)
				home.known.Record(move.Chat, to.name, tokens)
				break
			}
		}
	}
}

// scatter puts what a leaving replica held wherever there is memory.
func (fleet *fleet) scatter(gone *member) {
	for element := gone.cache.byUsage.Front(); element != nil; element = element.Next() {
		held := element.Value.(prefix)
		names := fleet.names()
		to := fleet.members[slices.MinFunc(names, func(a, b string) int {
			return int(fleet.members[a].cache.used - fleet.members[b].cache.used)
		})]
		if to.cache.used+held.tokens <= to.cache.room {
			to.cache.put(held.chat, held.tokens)
		}
	}
}

// total is the work of all replicas.
func (fleet *fleet) total() int64 {
	var total int64
	for _, member := range fleet.members {
		total += member.controller.Load().Work
	}
	return total
}

// least is the replica with the least work.
func (fleet *fleet) least() string {
	names := fleet.names()
	return slices.MinFunc(names, func(a, b string) int {
		return int(fleet.members[a].controller.Load().Work - fleet.members[b].controller.Load().Work)
	})
}

// arrive offers a request to replicas until one takes it.
func (fleet *fleet) arrive(request request) {
	request.arrived = fleet.now
	fleet.results[request.id] = &result{request: request, wait: request.deadline}
	if fleet.policy.order != nil {
		for i, name := range fleet.policy.order(fleet, request) {
			if i == placer.MaxOffers || fleet.offer(request, name, placer.ChatOffer{Attempt: i}).Outcome != admitter.Refused {
				return
			}
		}
		return
	}
	fleet.budget.Earn()
	plan := placer.NewAttemptPlan(fleet.entry(), cmp.Or(request.chat, request.body), nil)
	for attempt := 0; ; attempt++ {
		stop, ok := plan.Next()
		if !ok || attempt > 0 && !stop.BudgetExempt && !fleet.budget.Spend() {
			return
		}
		visit := placer.ChatOffer{
			Chat: request.chat, Attempt: attempt, Ranked: plan.Ranked(), OnlyIfCached: stop.OnlyIfCached,
		}
		refusal, taken := fleet.visit(request, stop.Replica.Name, visit)
		if taken {
			for _, keeper := range plan.PointerHolders(stop.Replica) {
				if member := fleet.members[keeper.Name]; member != nil {
					member.known.Record(request.chat, stop.Replica.Name, request.work())
				}
			}
			return
		}
		plan.RecordRefusal(refusal)
	}
}

func (fleet *fleet) visit(request request, name string, visit placer.ChatOffer) (placer.Refusal, bool) {
	member := fleet.members[name]
	if member == nil {
		return placer.Refusal{}, false
	}
	refusal := placer.Refusal{}
	if where := member.known.Locate(visit.Chat); where != name {
		refusal.LastReplica = where
	}
	visit.RecentlyStarted, visit.CanFetch = fleet.now.Since(member.born) < fleet.settle, fleet.policy.fetch
	if member.known.ShouldRedirect(visit) {
		fleet.results[request.id].offers++
		refusal.Redirected = true
		return refusal, false
	}
	decision := fleet.offer(request, name, visit)
	if decision.Failure.Kind == classifier.AtBound {
		refusal.AtBound = true
		refusal.Alternative = fleet.least()
	}
	return refusal, decision.Outcome != admitter.Refused
}

// fetch brings the prefix of a request that was taken from where it is.
func (fleet *fleet) fetch(member *member, visit placer.ChatOffer) int64 {
	from := fleet.members[member.known.FetchSource(visit)]
	if from != nil && from.cache.tokens(visit.Chat) == 0 {
		if from.busy[visit.Chat] == 0 {
			from.known.ForgetLocal(visit.Chat)
		}
		// The pointer is followed once.
		from = fleet.members[from.known.Locate(visit.Chat)]
	}
	if from == nil || from == member || from.cache.tokens(visit.Chat) == 0 {
		return 0
	}
	tokens := from.cache.tokens(visit.Chat)
	if visit.Ranked[0] == member.name {
		from.cache.demote(visit.Chat)
		from.known.RecordTransfer(visit.Chat, member.name)
	}
	member.cache.put(visit.Chat, tokens)
	fleet.fetched += tokens
	return tokens
}

// offer brings a request to a replica's controller.
func (fleet *fleet) offer(request request, name string, visit placer.ChatOffer) admitter.Decision {
	member := fleet.members[name]
	if member == nil {
		return admitter.Decision{Outcome: admitter.Refused}
	}
	fleet.results[request.id].offers++
	ticket := admitter.Ticket{
		ID: request.id, Team: request.team, Weight: request.weight, Class: request.class, Work: request.work(),
		Arrived: fleet.now, Deadline: fleet.now.Add(request.deadline),
	}
	ticket.LastAttempt = visit.Attempt >= placer.MaxOffers-1
	ticket.PrefixMiss = member.known.PrefixMiss(request.chat, visit.Attempt)
	if fleet.policy.plain {
		ticket.Team, ticket.Class, ticket.Deadline = "", 3, 0
	}
	held, total := member.controller.Load().Work, fleet.total()
	if fleet.now.Since(fleet.toldAt) >= fleet.policy.report {
		fleet.told, fleet.toldAt = total, fleet.now
	}
	mean := admitter.Mean{Total: fleet.told, Replicas: len(fleet.members), Age: fleet.now.Since(fleet.toldAt)}
	decision := member.controller.Offer(ticket, mean)
	if decision.Outcome != admitter.Refused {
		share := float64(total+request.work()) / float64(len(fleet.members))
		fleet.worst = max(fleet.worst, float64(held)/share)
		request.fetched = fleet.fetch(member, visit)
		member.known.Record(request.chat, name, request.work())
		fleet.waiting[request.id] = request
		member.busy[request.chat]++
	}
	for _, displaced := range decision.Displaced {
		member.busy[fleet.waiting[displaced.ID].chat]--
		delete(fleet.waiting, displaced.ID)
	}
	if decision.Outcome == admitter.Granted {
		fleet.start(member, request.id)
	}
	return decision
}

// start runs a request whose slot was granted.
func (fleet *fleet) start(member *member, id string) {
	request := fleet.waiting[id]
	delete(fleet.waiting, id)
	// A prefix is fetched five times as fast as it is computed.
	const prefillRate, fetchRate, decodeSpan = 20, 100, 5
	hit := min(member.cache.tokens(request.chat), request.prompt)
	fleet.cached += hit
	fleet.prompted += request.prompt
	prefill := timekeeper.Span(float64(request.prompt-hit)/prefillRate*member.slow + float64(request.fetched)/fetchRate)
	took := prefill + timekeeper.Span(float64(request.made*decodeSpan)*member.slow)
	done := fleet.results[id]
	done.wait = fleet.now.Since(request.arrived) + prefill
	life := member.life
	fleet.at(fleet.now.Add(prefill), func() { member.controller.RecordFirstByte(id, fleet.now) })
	fleet.at(fleet.now.Add(took), func() {
		if fleet.members[member.name] == nil || fleet.members[member.name].life != life {
			return
		}
		member.cache.put(request.chat, request.work())
		member.busy[request.chat]--
		done.served = done.wait <= request.deadline
		for _, granted := range member.controller.Finish(id, fleet.now) {
			fleet.start(member, granted.ID)
		}
	})
}

func (fleet *fleet) reuse() float64 { return float64(fleet.cached) / float64(max(1, fleet.prompted)) }
