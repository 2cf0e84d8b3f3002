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

// member is a simulated replica.
type member struct {
	name        string
	controller  *admitter.Controller
	cache       *cache
	directory   *placer.Directory
	startedAt   timekeeper.Instant
	incarnation int
	slowdown    float64
	// activeCalls counts the calls of each chat that wait or run at this replica.
	activeCalls map[uint64]int
}

func (request request) work() int64 { return request.promptTokens + request.outputTokens }

// policy chooses replicas. Order is nil for systemPolicy, which uses
// placer.AttemptPlan.
type policy struct {
	name     string
	limits   admitter.Limits
	order    func(fleet *fleet, request request) []string
	baseline bool
	// fetch lets a replica fetch the prefix of a call that it accepted.
	fetch bool
	// reportInterval is how often agents learn the load of the whole service; at
	// zero they always know the current one.
	reportInterval timekeeper.Span
}

// result is the outcome of a request.
type result struct {
	request
	served bool
	wait   timekeeper.Span
	offers int
}

// event is an action at an instant; events of one instant run in sequence.
type event struct {
	at       timekeeper.Instant
	sequence int
	action   func()
}

type eventQueue []event

func (eventQueue eventQueue) Len() int { return len(eventQueue) }
func (eventQueue eventQueue) Less(i, j int) bool {
	return eventQueue[i].at < eventQueue[j].at || eventQueue[i].at == eventQueue[j].at && eventQueue[i].sequence < eventQueue[j].sequence
}
func (eventQueue eventQueue) Swap(i, j int) {
	eventQueue[i], eventQueue[j] = eventQueue[j], eventQueue[i]
}
func (eventQueue *eventQueue) Push(x any) { *eventQueue = append(*eventQueue, x.(event)) }
func (eventQueue *eventQueue) Pop() any {
	last := (*eventQueue)[len(*eventQueue)-1]
	*eventQueue = (*eventQueue)[:len(*eventQueue)-1]
	return last
}

// fleet simulates one service under one policy.
type fleet struct {
	policy        policy
	random        *rand.Rand
	now           timekeeper.Instant
	sequence      int
	eventQueue    eventQueue
	tokenCapacity int64
	members       map[string]*member
	roster        placer.Roster
	// laggingRoster is the roster of half of the entries, which learn of each change
	// extraLag later than the others. With an extraLag of zero all entries use roster.
	laggingRoster placer.Roster
	extraLag      timekeeper.Span
	// assumedCapacity is the cache capacity that agents assume of their engine.
	assumedCapacity int64
	// lag is the delay until entries learn of a change. A replica counts as
	// recently started for recentStart after its start.
	lag, recentStart timekeeper.Span
	// reportedWork is the total that agents last received, at reportedAt.
	reportedWork      int64
	reportedAt        timekeeper.Instant
	budget            *retrier.Budget
	waiting           map[string]request
	results           map[string]*result
	cachedTokens      int64
	fetchedTokens     int64
	totalPromptTokens int64
	// maxOverMean is the highest load of a replica at an admission, over the mean.
	maxOverMean float64
}

func newFleet(policy policy, replicas int, tokenCapacity int64) *fleet {
	fleet := &fleet{
		policy: policy, random: rand.New(rand.NewPCG(11, 13)), tokenCapacity: tokenCapacity,
		assumedCapacity: tokenCapacity, members: map[string]*member{}, budget: retrier.NewBudget(retrier.Settings{}),
		waiting: map[string]request{}, results: map[string]*result{}, recentStart: 10 * timekeeper.Minute,
	}
	for i := range replicas {
		fleet.join(fmt.Sprintf("replica-%d", i+1))
		fleet.members[fmt.Sprintf("replica-%d", i+1)].startedAt = -timekeeper.Instant(timekeeper.Hour)
	}
	fleet.updateRosters()
	return fleet
}

func (fleet *fleet) at(at timekeeper.Instant, action func()) {
	fleet.sequence++
	heap.Push(&fleet.eventQueue, event{at, fleet.sequence, action})
}

func (fleet *fleet) run() {
	for len(fleet.eventQueue) > 0 {
		next := heap.Pop(&fleet.eventQueue).(event)
		fleet.now = next.at
		next.action()
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

// updateRosters brings the entries' rosters up to date.
func (fleet *fleet) updateRosters() {
	replicas := make([]placer.Replica, 0, len(fleet.members))
	for _, name := range fleet.names() {
		replicas = append(replicas, placer.Replica{Name: name})
	}
	fleet.roster = placer.NewRoster(replicas)
	updated := fleet.roster
	fleet.at(fleet.now.Add(fleet.extraLag), func() { fleet.laggingRoster = updated })
}

// randomEntryRoster returns the roster of a random entry, which receives the call:
// half of the entries use laggingRoster.
func (fleet *fleet) randomEntryRoster() placer.Roster {
	if fleet.extraLag == 0 || fleet.random.IntN(2) == 0 {
		return fleet.roster
	}
	return fleet.laggingRoster
}

func (fleet *fleet) join(name string) {
	fleet.sequence++
	fleet.members[name] = &member{
		name: name, controller: admitter.NewController(fleet.policy.limits), cache: newCache(fleet.tokenCapacity),
		directory: placer.NewDirectory(placer.DirectorySettings{Self: name, CacheTokens: fleet.assumedCapacity}), startedAt: fleet.now, incarnation: fleet.sequence, slowdown: 1, activeCalls: map[uint64]int{},
	}
	fleet.at(fleet.now.Add(fleet.lag), fleet.updateRosters)
}

// crash removes a replica with its calls and its cache.
func (fleet *fleet) crash(name string) {
	delete(fleet.members, name)
	fleet.at(fleet.now.Add(fleet.lag), fleet.updateRosters)
}

// leave removes a replica gracefully: it hands over its chats first.
func (fleet *fleet) leave(name string) {
	leaving := fleet.members[name]
	delete(fleet.members, name)
	fleet.updateRosters()
	if fleet.policy.name == oracleName {
		fleet.scatter(leaving)
	}
	if fleet.policy.baseline {
		return
	}
	for _, move := range leaving.directory.Handover(fleet.roster, placer.DirectorySize) {
		home := fleet.members[move.To[0].Name]
		if move.Holder != "" {
			home.directory.Record(move.Chat, move.Holder, 0)
			continue
		}
		tokens := leaving.cache.tokens(move.Chat)
		for _, replica := range move.To {
			to := fleet.members[replica.Name]
			if tokens > 0 && to.cache.used+tokens <= to.cache.tokenCapacity {
				to.cache.put(move.Chat, tokens)
				to.directory.Record(move.Chat, to.name, tokens)
				home.directory.Record(move.Chat, to.name, tokens)
				break
			}
		}
	}
}

// scatter moves the prefixes of a leaving replica to replicas with free memory.
func (fleet *fleet) scatter(leaving *member) {
	for element := leaving.cache.byUsage.Front(); element != nil; element = element.Next() {
		moved := element.Value.(prefix)
		names := fleet.names()
		to := fleet.members[slices.MinFunc(names, func(a, b string) int {
			return int(fleet.members[a].cache.used - fleet.members[b].cache.used)
		})]
		if to.cache.used+moved.tokens <= to.cache.tokenCapacity {
			to.cache.put(moved.chat, moved.tokens)
		}
	}
}

// totalWork returns the work of all replicas.
func (fleet *fleet) totalWork() int64 {
	var totalWork int64
	for _, member := range fleet.members {
		totalWork += member.controller.Load().Work
	}
	return totalWork
}

// leastLoaded returns the replica with the least work.
func (fleet *fleet) leastLoaded() string {
	names := fleet.names()
	return slices.MinFunc(names, func(a, b string) int {
		return int(fleet.members[a].controller.Load().Work - fleet.members[b].controller.Load().Work)
	})
}

// arrive offers a request to replicas until one accepts it.
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
	plan := placer.NewAttemptPlan(fleet.randomEntryRoster(), cmp.Or(request.chat, request.bodyFingerprint), nil)
	for attempt := 0; ; attempt++ {
		candidate, ok := plan.Next()
		if !ok || attempt > 0 && !candidate.BudgetExempt && !fleet.budget.Spend() {
			return
		}
		chatOffer := placer.ChatOffer{
			Chat: request.chat, Attempt: attempt, Ranked: plan.Ranked(), OnlyIfCached: candidate.OnlyIfCached,
		}
		refusal, taken := fleet.offerChat(request, candidate.Replica.Name, chatOffer)
		if taken {
			for _, holder := range plan.PointerHolders(candidate.Replica) {
				if member := fleet.members[holder.Name]; member != nil {
					member.directory.Record(request.chat, candidate.Replica.Name, request.work())
				}
			}
			return
		}
		plan.RecordRefusal(refusal)
	}
}

func (fleet *fleet) offerChat(request request, name string, chatOffer placer.ChatOffer) (placer.Refusal, bool) {
	member := fleet.members[name]
	if member == nil {
		return placer.Refusal{}, false
	}
	refusal := placer.Refusal{}
	if located := member.directory.Locate(chatOffer.Chat); located != name {
		refusal.LastReplica = located
	}
	chatOffer.RecentlyStarted, chatOffer.CanFetch = fleet.now.Since(member.startedAt) < fleet.recentStart, fleet.policy.fetch
	if member.directory.ShouldRedirect(chatOffer) {
		fleet.results[request.id].offers++
		refusal.Redirected = true
		return refusal, false
	}
	decision := fleet.offer(request, name, chatOffer)
	if decision.Failure.Kind == classifier.AtBound {
		refusal.AtBound = true
		refusal.Alternative = fleet.leastLoaded()
	}
	return refusal, decision.Outcome != admitter.Refused
}

// fetch copies the prefix of an accepted request from the replica that holds it.
func (fleet *fleet) fetch(member *member, chatOffer placer.ChatOffer) int64 {
	from := fleet.members[member.directory.FetchSource(chatOffer)]
	if from != nil && from.cache.tokens(chatOffer.Chat) == 0 {
		if from.activeCalls[chatOffer.Chat] == 0 {
			from.directory.ForgetLocal(chatOffer.Chat)
		}
		// Only one further pointer is followed.
		from = fleet.members[from.directory.Locate(chatOffer.Chat)]
	}
	if from == nil || from == member || from.cache.tokens(chatOffer.Chat) == 0 {
		return 0
	}
	tokens := from.cache.tokens(chatOffer.Chat)
	if chatOffer.Ranked[0] == member.name {
		from.cache.demote(chatOffer.Chat)
		from.directory.RecordTransfer(chatOffer.Chat, member.name)
	}
	member.cache.put(chatOffer.Chat, tokens)
	fleet.fetchedTokens += tokens
	return tokens
}

// offer passes a request to a replica's admission controller.
func (fleet *fleet) offer(request request, name string, chatOffer placer.ChatOffer) admitter.Decision {
	member := fleet.members[name]
	if member == nil {
		return admitter.Decision{Outcome: admitter.Refused}
	}
	fleet.results[request.id].offers++
	ticket := admitter.Ticket{
		ID: request.id, Team: request.team, Weight: request.weight, Class: request.class, Work: request.work(),
		Arrived: fleet.now, Deadline: fleet.now.Add(request.deadline),
	}
	ticket.LastAttempt = chatOffer.Attempt >= placer.MaxOffers-1
	ticket.PrefixMiss = member.directory.PrefixMiss(request.chat, chatOffer.Attempt)
	if fleet.policy.baseline {
		ticket.Team, ticket.Class, ticket.Deadline = "", 3, 0
	}
	memberWork, totalWork := member.controller.Load().Work, fleet.totalWork()
	if fleet.now.Since(fleet.reportedAt) >= fleet.policy.reportInterval {
		fleet.reportedWork, fleet.reportedAt = totalWork, fleet.now
	}
	mean := admitter.Mean{Total: fleet.reportedWork, Replicas: len(fleet.members), Age: fleet.now.Since(fleet.reportedAt)}
	decision := member.controller.Offer(ticket, mean)
	if decision.Outcome != admitter.Refused {
		share := float64(totalWork+request.work()) / float64(len(fleet.members))
		fleet.maxOverMean = max(fleet.maxOverMean, float64(memberWork)/share)
		request.fetchedTokens = fleet.fetch(member, chatOffer)
		member.directory.Record(request.chat, name, request.work())
		fleet.waiting[request.id] = request
		member.activeCalls[request.chat]++
	}
	for _, displaced := range decision.Displaced {
		member.activeCalls[fleet.waiting[displaced.ID].chat]--
		delete(fleet.waiting, displaced.ID)
	}
	if decision.Outcome == admitter.Granted {
		fleet.start(member, request.id)
	}
	return decision
}

// start runs a request that was granted a slot.
func (fleet *fleet) start(member *member, id string) {
	request := fleet.waiting[id]
	delete(fleet.waiting, id)
	// A prefix is fetched five times as fast as it is computed.
	const prefillRate, fetchRate, decodeSpan = 20, 100, 5
	hit := min(member.cache.tokens(request.chat), request.promptTokens)
	fleet.cachedTokens += hit
	fleet.totalPromptTokens += request.promptTokens
	prefill := timekeeper.Span(float64(request.promptTokens-hit)/prefillRate*member.slowdown + float64(request.fetchedTokens)/fetchRate)
	took := prefill + timekeeper.Span(float64(request.outputTokens*decodeSpan)*member.slowdown)
	outcome := fleet.results[id]
	outcome.wait = fleet.now.Since(request.arrived) + prefill
	incarnation := member.incarnation
	fleet.at(fleet.now.Add(prefill), func() { member.controller.RecordFirstByte(id, fleet.now) })
	fleet.at(fleet.now.Add(took), func() {
		if fleet.members[member.name] == nil || fleet.members[member.name].incarnation != incarnation {
			return
		}
		member.cache.put(request.chat, request.work())
		member.activeCalls[request.chat]--
		outcome.served = outcome.wait <= request.deadline
		for _, granted := range member.controller.Finish(id, fleet.now) {
			fleet.start(member, granted.ID)
		}
	})
}

func (fleet *fleet) reuse() float64 {
	return float64(fleet.cachedTokens) / float64(max(1, fleet.totalPromptTokens))
}
