package claimer

import (
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Owner names the request that a key is bound to and the agent incarnation that holds it.
type Owner struct {
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	Request     string `json:"request"`
}

// Claim is a request's claim to run under an idempotency key.
type Claim struct {
	// Key is the key of the claim's row, computed by RowKey.
	Key         string
	Request     string
	Fingerprint uint64
	// Expires is the expiry of a minted key; zero for a caller's own key.
	Expires timekeeper.Instant
	Minted  bool
}

// Step is the next action for a Claim.
type Step uint8

// The steps.
const (
	// Insert means that the claim's row must be written, and the result of that write
	// passed to Resolve.
	Insert Step = iota + 1
	// Proceed means that the request holds the key and may start.
	Proceed
	// Refuse means that the request must not run here.
	Refuse
)

// Verdict is the book's decision about a Claim.
type Verdict struct {
	Step    Step
	Row     Row
	Failure classifier.Failure
	// Owner is the current owner of the key, if the request was refused because
	// the key is bound.
	Owner Owner
}

// stage is the state of a key at this agent.
type stage uint8

const (
	// claiming: the claim's row is being written.
	claiming stage = iota + 1
	// held: the request may start.
	held
	// free: this agent owns the key, and no request under it has reached the upstream.
	free
	// unconfirmed: a write of the row has an unknown outcome; no request has started.
	unconfirmed
	// started: the request was sent to the upstream. Only End and RevertStart leave
	// this stage.
	started
	// ended: the run has ended.
	ended
	// foreign: another incarnation owns the key.
	foreign
)

// keyRecord is the state of one key in a Book.
type keyRecord struct {
	stage       stage
	owner       Owner
	fingerprint uint64
	expires     timekeeper.Instant
	minted      bool
	insertTried bool
	completed   bool
	digest      uint64
	// confirmedAt is an instant after which the store had the row; zero means never.
	confirmedAt timekeeper.Instant
}

// Settings configure a Book. Name and Incarnation are required.
type Settings struct {
	Name        string
	Incarnation uint64
	// Lifetime is the time from a claim to its expiry; zero means 24 hours.
	Lifetime timekeeper.Span
	// MaxKeys limits the keys in the book; zero means 65,536. The record of an
	// ended run takes 230 bytes, so the default limits the memory to about 15 MB.
	MaxKeys int
}

// defaultLifetime is the default of Settings.Lifetime.
const defaultLifetime = 24 * timekeeper.Hour

// Grace is how long other agents respect a claim after its expiry. An owner
// starts no request after the expiry, and other agents take the row over only
// after the grace, so their clocks may differ by up to Grace.
const Grace = timekeeper.Hour

// confirmedFor is how long a request may be granted under a key whose row was confirmed before:
// its Run frame arrives within startWindow.
const confirmedFor = 2 * timekeeper.Second

// maxCompleted limits the completed runs that are not yet marked in the table.
const maxCompleted = 1024

// Book tracks the idempotency keys of one agent incarnation in memory.
type Book struct {
	settings Settings
	records  map[string]*keyRecord
	// byRequest maps a request to its key.
	byRequest map[string]string
	// completed holds the keys of completed runs that are not yet marked in the table.
	completed []string
}

// NewBook returns an empty book.
func NewBook(settings Settings) *Book {
	if settings.Lifetime == 0 {
		settings.Lifetime = defaultLifetime
	}
	if settings.MaxKeys == 0 {
		settings.MaxKeys = 1 << 16
	}
	return &Book{settings: settings, records: map[string]*keyRecord{}, byRequest: map[string]string{}}
}

// Check reports whether Claim would refuse a call because of its key's record,
// without changing the book. Callers use it before the queue, so that a resend of
// a key that ran here doesn't wait for a slot.
func (book *Book) Check(claim Claim) (Verdict, bool) {
	record := book.records[claim.Key]
	if record == nil {
		return Verdict{}, false
	}
	verdict := book.evaluate(record, claim)
	return verdict, verdict.Step == Refuse
}

// Claim returns the next step of a keyed call that has a slot.
func (book *Book) Claim(claim Claim, now timekeeper.Instant) Verdict {
	record := book.records[claim.Key]
	if record == nil {
		return book.openRecord(claim, now)
	}
	verdict := book.evaluate(record, claim)
	if verdict.Step == Refuse {
		return verdict
	}
	if verdict.Step == Proceed && !record.minted && now.Since(record.confirmedAt) > confirmedFor {
		// The store may have come back without the row.
		verdict.Step = Insert
	}
	record.owner.Request = claim.Request
	book.byRequest[claim.Request] = claim.Key
	if verdict.Step == Insert {
		record.stage = claiming
		verdict.Row = rowOf(claim.Key, record)
		return verdict
	}
	record.stage = held
	return verdict
}

func (book *Book) openRecord(claim Claim, now timekeeper.Instant) Verdict {
	// A minted key has no row in the table, so its record must not be dropped
	// before the key expires. A full book refuses the call, which has not run.
	if len(book.records) >= book.settings.MaxKeys && !book.makeRoom(now) {
		return refuse(classifier.New(classifier.Overloaded, "too many keys are held").WithRetryAfter(timekeeper.Second))
	}
	record := &keyRecord{
		stage:       claiming,
		owner:       Owner{Agent: book.settings.Name, Incarnation: book.settings.Incarnation, Request: claim.Request},
		fingerprint: claim.Fingerprint,
		expires:     now.Add(book.settings.Lifetime),
		minted:      claim.Minted,
	}
	book.records[claim.Key] = record
	book.byRequest[claim.Request] = claim.Key
	if claim.Minted {
		record.expires = claim.Expires
		record.stage = held
		return Verdict{Step: Proceed}
	}
	return Verdict{Step: Insert, Row: rowOf(claim.Key, record)}
}

// evaluate returns the next step of a call whose key has a record.
func (book *Book) evaluate(record *keyRecord, claim Claim) Verdict {
	switch {
	case record.fingerprint != claim.Fingerprint:
		return refuse(classifier.New(classifier.KeyReused, ""))
	case record.stage == free:
		return Verdict{Step: Proceed}
	case record.stage == unconfirmed:
		return Verdict{Step: Insert}
	}
	return Verdict{Step: Refuse, Failure: record.refusal(), Owner: record.owner}
}

// refusal returns the failure for a key that is already bound. A caller gets it
// when the owner of the key can't return the answer itself.
func (record *keyRecord) refusal() classifier.Failure {
	switch {
	case record.completed:
		return classifier.New(classifier.KeyDone, "")
	case record.stage == ended || record.stage == foreign:
		return classifier.New(classifier.OutcomeUnknown, "the key is bound to a run whose outcome is not known here")
	}
	return classifier.New(classifier.KeyInProgress, "").WithRetryAfter(timekeeper.Second)
}

func refuse(failure classifier.Failure) Verdict {
	return Verdict{Step: Refuse, Failure: failure}
}

// Resolve applies the result of writing a claim's row and returns the next step.
func (book *Book) Resolve(claim Claim, result Result) Verdict {
	record := book.records[claim.Key]
	if record == nil || record.stage != claiming || record.owner.Request != claim.Request {
		return refuse(classifier.New(classifier.Tombstoned, "the claim was given up"))
	}
	switch result.Outcome {
	case Won:
		record.stage, record.insertTried, record.confirmedAt = held, true, result.At
		return Verdict{Step: Proceed}
	case Held:
		record.stage = unconfirmed
		delete(book.byRequest, claim.Request)
		return refuse(HeldFailure(result.RetryAfter))
	case Lost:
		return book.resolveLost(claim, record, result)
	}
	// The write may still take effect. No request has started, so the failure may
	// report "not run". A later call at this agent inserts again and finds its own
	// row if the write did take effect.
	record.stage, record.insertTried = unconfirmed, true
	delete(book.byRequest, claim.Request)
	failure := classifier.New(classifier.StoreDown, "the claim could not be written")
	return refuse(failure.WithRetryAfter(2 * timekeeper.Second))
}

// resolveLost applies a Lost result, whose row names another request or another
// incarnation.
func (book *Book) resolveLost(claim Claim, record *keyRecord, result Result) Verdict {
	row := result.Row
	own := row.Owner.Agent == book.settings.Name && row.Owner.Incarnation == book.settings.Incarnation
	if own && record.insertTried && row.Fingerprint == claim.Fingerprint {
		// The row is taken to be from an earlier insert for this record, whose outcome
		// was unknown and under which no request has started.
		record.stage, record.expires, record.confirmedAt = held, row.Expires, result.At
		return Verdict{Step: Proceed}
	}
	delete(book.byRequest, claim.Request)
	if own {
		// This incarnation wrote the row, and makeRoom has dropped its record, so only
		// a row marked as done tells whether the call ran.
		delete(book.records, claim.Key)
		return refuse(forgottenFailure(row))
	}
	*record = foreignRecord(result)
	return book.evaluate(record, claim)
}

// foreignRecord returns the record of a key that the row of a Lost result binds to another
// incarnation.
func foreignRecord(result Result) keyRecord {
	row := result.Row
	return keyRecord{
		stage: foreign, owner: row.Owner, fingerprint: row.Fingerprint, expires: row.Expires, completed: row.Done, digest: row.Digest,
		confirmedAt: result.At,
	}
}

// forgottenFailure returns the failure for a row that names this incarnation and
// whose record makeRoom has dropped.
func forgottenFailure(row Row) classifier.Failure {
	if row.Done {
		return classifier.New(classifier.KeyDone, "")
	}
	return classifier.New(classifier.OutcomeUnknown, "the key's record is no longer held")
}

// Start reports whether the request may be sent to the upstream now. A keyed
// call runs only after Start, which returns true once for each key, unless
// RevertStart undoes it.
func (book *Book) Start(request string, now timekeeper.Instant) bool {
	record := book.records[book.byRequest[request]]
	if record == nil || record.stage != held || record.owner.Request != request {
		return false
	}
	// An agent that was paused past the expiry must not start the request:
	// after the grace another agent may have taken the row over.
	if !now.Before(record.expires) {
		return false
	}
	// If the store comes back without the row, other agents may claim the key after holdTime.
	if !record.minted && now.Since(record.confirmedAt) > startWindow {
		return false
	}
	record.stage = started
	return true
}

// Abandon releases the key from a request that has not started; the key stays
// bound to the agent.
func (book *Book) Abandon(request string) {
	record := book.records[book.byRequest[request]]
	if record == nil || record.owner.Request != request {
		return
	}
	switch record.stage {
	case held:
		record.stage = free
	case claiming:
		record.stage, record.insertTried = unconfirmed, true
	default:
		return
	}
	delete(book.byRequest, request)
}

// End records that a run has ended. TakeCompleted later returns the rows of complete
// answers.
func (book *Book) End(request string, complete bool, digest uint64) {
	key := book.byRequest[request]
	record := book.records[key]
	if record == nil || record.stage != started {
		return
	}
	record.stage, record.completed, record.digest = ended, complete, digest
	delete(book.byRequest, request)
	if complete && !record.minted {
		// Above maxCompleted the oldest key is dropped. Its row stays unmarked, so the
		// outcome is reported as unknown once this agent is gone.
		book.completed = append(book.completed[max(0, len(book.completed)+1-maxCompleted):], key)
	}
}

// RevertStart frees the key of a started request. It is only for a run that
// certainly didn't reach the upstream, for example after a refused connection.
func (book *Book) RevertStart(request string) {
	record := book.records[book.byRequest[request]]
	if record != nil && record.stage == started && record.owner.Request == request {
		record.stage = free
		delete(book.byRequest, request)
	}
}

// TakeCompleted returns up to limit rows of completed runs, to be marked in the table,
// and removes their keys from book.completed.
func (book *Book) TakeCompleted(limit int) []Row {
	count := min(limit, len(book.completed))
	var rows []Row
	for _, key := range book.completed[:count] {
		if record := book.records[key]; record != nil {
			rows = append(rows, rowOf(key, record))
		}
	}
	book.completed = append([]string(nil), book.completed[count:]...)
	return rows
}

// makeRoom drops records that expired more than Grace ago. It then drops ended and
// foreign keys, whose rows in the table still bind them, until seven eighths of
// MaxKeys are left. It never drops an unexpired minted key, which has no row. It
// reports whether the book has room.
func (book *Book) makeRoom(now timekeeper.Instant) bool {
	target := book.settings.MaxKeys - book.settings.MaxKeys/8
	book.dropRecords(func(record *keyRecord) bool { return now.Since(record.expires) > Grace })
	if len(book.records) > target {
		book.dropRecords(func(record *keyRecord) bool {
			return len(book.records) > target && !record.minted && (record.stage == ended || record.stage == foreign)
		})
	}
	return len(book.records) < book.settings.MaxKeys
}

// dropRecords removes droppable records of keys without a current request.
func (book *Book) dropRecords(droppable func(record *keyRecord) bool) {
	for key, record := range book.records {
		inUse := record.stage == started || record.stage == claiming || record.stage == held
		if !inUse && droppable(record) {
			delete(book.records, key)
		}
	}
}

// Len returns the number of keys in the book.
func (book *Book) Len() int {
	return len(book.records)
}
