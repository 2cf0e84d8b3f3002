package claimer

import (
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Owner is the one request that a key is bound to, and where it lives.
type Owner struct {
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	Request     string `json:"request"`
}

// Claim is a keyed call that wants to run.
type Claim struct {
	// Key is the row's key, made by RowKey.
	Key         string
	Request     string
	Fingerprint uint64
	// Expires is when a minted key expires; zero for a caller's own key.
	Expires timekeeper.Instant
	Minted  bool
}

// Step is what has to be done next for an Ask.
type Step uint8

// The steps.
const (
	// Insert says that a claim row must be written and its result settled.
	Insert Step = iota + 1
	// Proceed says that the request holds the key.
	Proceed
	// Refuse says that the request must not run here.
	Refuse
)

// Verdict is the book's answer to an Ask.
type Verdict struct {
	Step    Step
	Row     Row
	Failure classifier.Failure
	// Owner is whom the key is bound to when the request is refused for that.
	Owner Owner
}

// stage is where a key stands at this agent.
type stage uint8

const (
	// claiming: the row is being written for the request.
	claiming stage = iota + 1
	// held: the request may start.
	held
	// free: the row is this agent's and nothing has started.
	free
	// unsure: a write was tried and its outcome is not known; nothing has started.
	unsure
	// started: the request was handed to the upstream. It never goes back.
	started
	// ended: the run has ended.
	ended
	// foreign: another incarnation owns the key.
	foreign
)

type page struct {
	stage       stage
	owner       Owner
	fingerprint uint64
	expires     timekeeper.Instant
	minted      bool
	tried       bool
	done        bool
	digest      uint64
}

// Settings set up a Book. Name and Incarnation must be set.
type Settings struct {
	Name        string
	Incarnation uint64
	// Lifetime is how long a claim binds its key; zero means 24 hours.
	Lifetime timekeeper.Span
	// MaxKeys is how many keys the book holds; zero means 65,536. A page
	// whose run has ended is 230 bytes, so the default bounds it near 15 MB.
	MaxKeys int
}

// Grace is how long past a claim's expiry it is still respected by others. An
// owner starts nothing after the expiry, others take a row only after the
// grace, so clocks may be a grace apart.
const Grace = timekeeper.Hour

// mostDone bounds the runs that wait to be marked as done.
const mostDone = 1024

// Book is what one agent incarnation knows about keys.
type Book struct {
	settings  Settings
	pages     map[string]*page
	byRequest map[string]string
	done      []string
}

// NewBook returns an empty book.
func NewBook(settings Settings) *Book {
	if settings.Lifetime == 0 {
		settings.Lifetime = 24 * timekeeper.Hour
	}
	if settings.MaxKeys == 0 {
		settings.MaxKeys = 1 << 16
	}
	return &Book{settings: settings, pages: map[string]*page{}, byRequest: map[string]string{}}
}

// Check tells without any change whether an ask would be refused right away.
// It is for resends of keys that ran here: they must not wait for a slot.
func (book *Book) Check(ask Claim) (Verdict, bool) {
	known := book.pages[ask.Key]
	if known == nil {
		return Verdict{}, false
	}
	verdict := book.judge(known, ask)
	return verdict, verdict.Step == Refuse
}

// Claim decides about a keyed call that has a slot.
func (book *Book) Claim(ask Claim, now timekeeper.Instant) Verdict {
	known := book.pages[ask.Key]
	if known == nil {
		return book.open(ask, now)
	}
	verdict := book.judge(known, ask)
	if verdict.Step == Refuse {
		return verdict
	}
	known.owner.Request = ask.Request
	book.byRequest[ask.Request] = ask.Key
	if verdict.Step == Insert {
		known.stage = claiming
		verdict.Row = rowOf(ask.Key, known)
		return verdict
	}
	known.stage = held
	return verdict
}

func (book *Book) open(ask Claim, now timekeeper.Instant) Verdict {
	// A minted key has no row that would remember it, so its page must not be
	// dropped before the key expires. A full book refuses instead: not run.
	if len(book.pages) >= book.settings.MaxKeys && !book.makeRoom(now) {
		return refuse(classifier.New(classifier.Overloaded, "too many keys are held").WithRetryAfter(timekeeper.Second))
	}
	made := &page{
		stage:       claiming,
		owner:       Owner{Agent: book.settings.Name, Incarnation: book.settings.Incarnation, Request: ask.Request},
		fingerprint: ask.Fingerprint,
		expires:     now.Add(book.settings.Lifetime),
		minted:      ask.Minted,
	}
	book.pages[ask.Key] = made
	book.byRequest[ask.Request] = ask.Key
	if ask.Minted {
		made.expires = ask.Expires
		made.stage = held
		return Verdict{Step: Proceed}
	}
	return Verdict{Step: Insert, Row: rowOf(ask.Key, made)}
}

// judge decides about an ask for a key with a page.
func (book *Book) judge(known *page, ask Claim) Verdict {
	switch {
	case known.fingerprint != ask.Fingerprint:
		return refuse(classifier.New(classifier.KeyReused, ""))
	case known.stage == free:
		return Verdict{Step: Proceed}
	case known.stage == unsure:
		return Verdict{Step: Insert}
	}
	return Verdict{Step: Refuse, Failure: known.refusal(), Owner: known.owner}
}

// refusal is what a caller learns about a key that is bound, when its owner can't
// give the answer itself.
func (known *page) refusal() classifier.Failure {
	switch {
	case known.done:
		return classifier.New(classifier.KeyDone, "")
	case known.stage == ended || known.stage == foreign:
		return classifier.New(classifier.OutcomeUnknown, "the key is bound to a run whose outcome is not known here")
	}
	return classifier.New(classifier.KeyInProgress, "").WithRetryAfter(timekeeper.Second)
}

func refuse(failure classifier.Failure) Verdict {
	return Verdict{Step: Refuse, Failure: failure}
}

// Resolve takes in what became of a claim's row.
func (book *Book) Resolve(ask Claim, result Result) Verdict {
	known := book.pages[ask.Key]
	if known == nil || known.stage != claiming || known.owner.Request != ask.Request {
		return refuse(classifier.New(classifier.Tombstoned, "the claim was given up"))
	}
	switch result.Outcome {
	case Won:
		known.stage, known.tried = held, true
		return Verdict{Step: Proceed}
	case Lost:
		return book.lost(ask, known, result.Row)
	}
	// The write may still take effect. Nothing runs, so "not run" is true; a
	// later ask here inserts again, and finds its own row if it did.
	known.stage, known.tried = unsure, true
	delete(book.byRequest, ask.Request)
	failure := classifier.New(classifier.StoreDown, "the claim could not be written")
	return refuse(failure.WithRetryAfter(2 * timekeeper.Second))
}

// lost handles a claim whose row is taken.
func (book *Book) lost(ask Claim, known *page, row Row) Verdict {
	own := row.Owner.Agent == book.settings.Name && row.Owner.Incarnation == book.settings.Incarnation
	if own && known.tried && row.Fingerprint == ask.Fingerprint {
		known.stage, known.expires = held, row.Expires
		return Verdict{Step: Proceed}
	}
	delete(book.byRequest, ask.Request)
	if own {
		// The row is ours and the page is gone: it was dropped for room, and
		// whether the call ran is no longer known here.
		delete(book.pages, ask.Key)
		return refuse(forgotten(row))
	}
	*known = page{
		stage: foreign, owner: row.Owner, fingerprint: row.Fingerprint, expires: row.Expires, done: row.Done, digest: row.Digest,
	}
	return book.judge(known, ask)
}

func forgotten(row Row) classifier.Failure {
	if row.Done {
		return classifier.New(classifier.KeyDone, "")
	}
	return classifier.New(classifier.OutcomeUnknown, "the key's record is no longer held")
}

// Start reports whether the request may go to the upstream now. It is the only
// way to run a keyed call, and it answers true once for each key.
func (book *Book) Start(request string, now timekeeper.Instant) bool {
	known := book.pages[book.byRequest[request]]
	if known == nil || known.stage != held || known.owner.Request != request {
		return false
	}
	// An agent that was paused past the expiry must not start: after the
	// grace another may have taken the row.
	if !now.Before(known.expires) {
		return false
	}
	known.stage = started
	return true
}

// Abandon gives up a request that didn't start; the key stays bound to the agent.
func (book *Book) Abandon(request string) {
	known := book.pages[book.byRequest[request]]
	if known == nil || known.owner.Request != request {
		return
	}
	switch known.stage {
	case held:
		known.stage = free
	case claiming:
		known.stage, known.tried = unsure, true
	default:
		return
	}
	delete(book.byRequest, request)
}

// End notes that a run has ended. A whole answer is marked in the row later.
func (book *Book) End(request string, complete bool, digest uint64) {
	key := book.byRequest[request]
	known := book.pages[key]
	if known == nil || known.stage != started {
		return
	}
	known.stage, known.done, known.digest = ended, complete, digest
	delete(book.byRequest, request)
	if complete && !known.minted {
		// The oldest mark is dropped: an agent that runs more calls than it may
		// mark answers "unknown" for some of them once it is gone.
		book.done = append(book.done[max(0, len(book.done)+1-mostDone):], key)
	}
}

// RevertStart takes a start back. It is only for a run that is known not to have
// reached the upstream, such as one whose connection was refused.
func (book *Book) RevertStart(request string) {
	known := book.pages[book.byRequest[request]]
	if known != nil && known.stage == started && known.owner.Request == request {
		known.stage = free
		delete(book.byRequest, request)
	}
}

// TakeDone returns up to limit rows that are to be marked as done.
func (book *Book) TakeDone(limit int) []Row {
	count := min(limit, len(book.done))
	var rows []Row
	for _, key := range book.done[:count] {
		if known := book.pages[key]; known != nil {
			rows = append(rows, rowOf(key, known))
		}
	}
	book.done = append([]string(nil), book.done[count:]...)
	return rows
}

// TakeUnused returns the rows of keys under which nothing has started here, and
// forgets them, so that nothing starts under them here any more.
func (book *Book) TakeUnused() []Row {
	var rows []Row
	for key, known := range book.pages {
		if !known.minted && (known.stage == free || known.stage == unsure) {
			rows = append(rows, rowOf(key, known))
			delete(book.pages, key)
		}
	}
	return rows
}

// makeRoom drops pages that may be forgotten: expired ones, and claims whose
// row remembers them. It reports whether there is room now.
func (book *Book) makeRoom(now timekeeper.Instant) bool {
	most := book.settings.MaxKeys - book.settings.MaxKeys/8
	book.drop(func(known *page) bool { return now.Since(known.expires) > Grace })
	if len(book.pages) > most {
		book.drop(func(known *page) bool {
			return len(book.pages) > most && !known.minted && (known.stage == ended || known.stage == foreign)
		})
	}
	return len(book.pages) < book.settings.MaxKeys
}

func (book *Book) drop(may func(known *page) bool) {
	for key, known := range book.pages {
		running := known.stage == started || known.stage == claiming || known.stage == held
		if !running && may(known) {
			delete(book.pages, key)
		}
	}
}

// Len returns how many keys the book holds.
func (book *Book) Len() int {
	return len(book.pages)
}
