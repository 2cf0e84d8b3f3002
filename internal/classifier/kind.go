package classifier

import "net/http"

// Kind is an error kind from a closed list.
type Kind uint8

// The error kinds. New ones are appended and none is renumbered, since records keep them.
const (
	Internal Kind = iota + 1
	BadRequest
	Unauthorized
	NotFound
	MethodNotAllowed
	BodyTooLarge
	HeadersTooLarge
	SlowCaller
	CallerGone
	RateLimited
	Overloaded
	Draining
	NoUpstream
	Unreachable
	WrongService
	WrongInstance
	DeadlinePassed
	UpstreamBroken
	AnswerCut
	OutcomeUnknown
	KeyReused
	KeyInProgress
	KeyRequired
	KeyExpired
	StoreDown
	Struck
	NotReady
	Stale
	Fenced
	Protocol
	Tombstoned
	ResumeLost
	KeyDone
	Moved
	AtBound
	OriginUnknown
)

// Ran says what is known about whether a request ran.
type Ran string

// The values of the member "ran" in an answer.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Answer is what a caller gets for a Kind.
type Answer struct {
	// Name is the kind's name in answers, logs and records, in kebab case.
	Name string
	// Status is the HTTP status code.
	Status int
	// Title is the short text of the problem.
	Title string
	// Ran says whether the request ran.
	Ran Ran
	// Retry reports whether a later retry can help, so that the answer carries
	// Retry-After.
	Retry bool
	// RetryElsewhere reports whether the same request may be tried at another
	// replica: the refusal concerns this replica only, and nothing ran.
	RetryElsewhere bool
}

var answers = [...]Answer{
	Internal:         {"internal", http.StatusInternalServerError, "internal error", RanUnknown, false, false},
	BadRequest:       {"bad-request", http.StatusBadRequest, "the request is malformed", RanNo, false, false},
	Unauthorized:     {"unauthorized", http.StatusUnauthorized, "unknown team key", RanNo, false, false},
	NotFound:         {"not-found", http.StatusNotFound, "no service for this path or model", RanNo, false, false},
	MethodNotAllowed: {"method-not-allowed", http.StatusMethodNotAllowed, "method not allowed here", RanNo, false, false},
	BodyTooLarge:     {"body-too-large", http.StatusRequestEntityTooLarge, "the body is over the limit", RanNo, false, false},
	HeadersTooLarge:  {"headers-too-large", http.StatusRequestHeaderFieldsTooLarge, "a header is over the limit", RanNo, false, false},
	SlowCaller:       {"slow-caller", http.StatusRequestTimeout, "the body did not arrive in time", RanNo, true, false},
	CallerGone:       {"caller-gone", 499, "the caller left", RanUnknown, false, false},
	RateLimited:      {"rate-limited", http.StatusTooManyRequests, "the team is over its share", RanNo, true, false},
	Overloaded:       {"overloaded", http.StatusServiceUnavailable, "every candidate is at its limit", RanNo, true, true},
	Draining:         {"draining", http.StatusServiceUnavailable, "the upstream is leaving", RanNo, true, true},
	NoUpstream:       {"no-upstream", http.StatusServiceUnavailable, "no upstream is known for the service", RanNo, true, false},
	Unreachable:      {"unreachable", http.StatusServiceUnavailable, "no upstream could be reached", RanNo, true, true},
	WrongService:     {"wrong-service", http.StatusServiceUnavailable, "the replica serves another service", RanNo, true, true},
	WrongInstance:    {"wrong-instance", http.StatusServiceUnavailable, "the replica is another incarnation", RanNo, true, true},
	DeadlinePassed:   {"deadline-passed", http.StatusServiceUnavailable, "the wait would pass the deadline", RanNo, true, true},
	UpstreamBroken:   {"upstream-broken", http.StatusBadGateway, "the upstream failed while the request ran", RanUnknown, false, false},
	AnswerCut:        {"answer-cut", http.StatusBadGateway, "the answer ended before its terminal", RanUnknown, false, false},
	OutcomeUnknown:   {"outcome-unknown", http.StatusBadGateway, "whether the request ran can't be known", RanUnknown, false, false},
	KeyReused:        {"key-reused", http.StatusUnprocessableEntity, "the idempotency key came with another body", RanNo, false, false},
	KeyInProgress:    {"key-in-progress", http.StatusConflict, "a request with this key is running", RanUnknown, true, false},
	KeyRequired:      {"key-required", http.StatusBadRequest, "this call needs an Idempotency-Key", RanNo, false, false},
	KeyExpired:       {"key-expired", http.StatusUnprocessableEntity, "the key has expired", RanUnknown, false, false},
	StoreDown:        {"store-down", http.StatusServiceUnavailable, "the platform's store is down, and the call needs it", RanNo, true, false},
	Struck:           {"struck", http.StatusUnprocessableEntity, "the request crashed upstreams and is held back", RanNo, false, false},
	NotReady:         {"not-ready", http.StatusServiceUnavailable, "the process is not ready", RanNo, true, true},
	Stale:            {"stale", http.StatusServiceUnavailable, "the configuration is behind", RanNo, true, true},
	Fenced:           {"fenced", http.StatusConflict, "a later holder of the lease has given orders", RanNo, false, false},
	Protocol:         {"protocol", http.StatusBadGateway, "a process broke the protocol", RanUnknown, false, false},
	Tombstoned:       {"tombstoned", http.StatusServiceUnavailable, "the request was declared not run", RanNo, true, false},
	ResumeLost:       {"resume-lost", http.StatusGone, "the stream can't be resumed from there", RanUnknown, false, false},
	Moved:            {"moved", http.StatusServiceUnavailable, "the chat last ran at another replica", RanNo, true, true},
	AtBound:          {"at-bound", http.StatusServiceUnavailable, "the replicas tried carry their share of the load", RanNo, true, true},
	OriginUnknown:    {"origin-unknown", http.StatusServiceUnavailable, "which software version began the stream is not known", RanNo, true, false},
	KeyDone:          {"key-done", http.StatusConflict, "the request with this key ran to its end; its answer is not kept", RanYes, false, false},
}

// AnswerOf returns the answer for a kind; an unknown kind gets that of Internal.
func AnswerOf(kind Kind) Answer {
	if int(kind) >= len(answers) || answers[kind].Name == "" {
		return answers[Internal]
	}
	return answers[kind]
}

// Kinds returns every kind of the list in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers)-1)
	for kind := range answers {
		if answers[kind].Name != "" {
			kinds = append(kinds, Kind(kind))
		}
	}
	return kinds
}

// String returns the kind's name in kebab case.
func (kind Kind) String() string {
	return AnswerOf(kind).Name
}

// KindOf returns the kind with the given name, or Internal if this version does not
// know the name.
func KindOf(name string) Kind {
	for kind := range answers {
		if answers[kind].Name == name {
			return Kind(kind)
		}
	}
	return Internal
}
