package router

import (
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Ref identifies a request within one instance.
type Ref uint64

// Outcome tells a caller whether its request was executed.
type Outcome string

// Outcomes. NotRun is used only when it is certain that no byte of the request
// was sent to an executor that could run it.
const (
	Answered       Outcome = "answered"
	NotRun         Outcome = "not-run"
	OutcomeUnknown Outcome = "outcome-unknown"
	RanAndFailed   Outcome = "ran-and-failed"
)

// Request is the data of a caller's request that the router uses.
type Request struct {
	ID         string
	Team       structs.TeamID
	Class      structs.ClassName
	Service    string
	Deadline   structs.Timestamp
	Idempotent bool
	// Replayable reports that the whole body is buffered, so that a second
	// attempt can run in parallel with the first.
	Replayable bool
}

// ClassPolicy is the policy of one class of requests.
type ClassPolicy struct {
	Name    structs.ClassName
	Urgency structs.Urgency
	// Weight is the share of starts relative to other classes with queued
	// requests. Values below 1 count as 1.
	Weight int
	// FloorPercent is the minimum share of starts of the class, regardless of
	// the weights. While the class is below its floor, less urgent classes
	// also leave that share of the slots free for it.
	FloorPercent int
	// QueueLimit is the maximum number of queued requests of the class,
	// TeamQueueLimit that of one team in the class.
	QueueLimit     int
	TeamQueueLimit int
	// RetryPercent is the number of retries per hundred first attempts.
	RetryPercent int
	// DefaultDeadline applies to requests without a deadline. MaxDeadline
	// limits the deadline of every request.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Policy is the part of the settings that the router applies.
type Policy struct {
	Classes []ClassPolicy // in order of urgency, the most urgent first
	// TeamWeights are the weights by which the teams share the starts of a
	// class. A team without an entry has weight 1.
	TeamWeights map[structs.TeamID]int
	// CrossRegionCost is the expected wait in the instance's region above
	// which a request may be sent to another region.
	CrossRegionCost time.Duration
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int
	// RetryBackoff is the mean wait before the first retry. It doubles with
	// each further retry.
	RetryBackoff time.Duration
}

// Defaults of a policy.
const (
	DefaultQueueLimit      = 1024
	DefaultTeamQueueLimit  = 256
	DefaultRetryPercent    = 10
	DefaultRequestDeadline = 10 * time.Second
	DefaultMaxDeadline     = 5 * time.Minute
	DefaultMaxAttempts     = 3
	DefaultRetryBackoff    = 10 * time.Millisecond
	DefaultCrossRegionCost = 60 * time.Millisecond
)

// DefaultPolicy returns a policy with the classes urgent, normal and deferrable.
func DefaultPolicy() Policy {
	return Policy{
		Classes: []ClassPolicy{
			{Name: "urgent", Urgency: structs.Urgent, Weight: 8, FloorPercent: 20},
			{Name: "normal", Urgency: structs.Normal, Weight: 4, FloorPercent: 10},
			{Name: "deferrable", Urgency: structs.Deferrable, Weight: 1, FloorPercent: 5},
		},
		CrossRegionCost: DefaultCrossRegionCost,
		MaxAttempts:     DefaultMaxAttempts,
		RetryBackoff:    DefaultRetryBackoff,
	}
}

// withDefaults replaces unset fields by their defaults. CrossRegionCost 0 is a
// valid setting and stays.
func (p Policy) withDefaults() Policy {
	classes := make([]ClassPolicy, len(p.Classes))
	for i, c := range p.Classes {
		c.Weight = max(c.Weight, 1)
		c.QueueLimit = orDefault(c.QueueLimit, DefaultQueueLimit)
		c.TeamQueueLimit = orDefault(c.TeamQueueLimit, DefaultTeamQueueLimit)
		c.RetryPercent = orDefault(c.RetryPercent, DefaultRetryPercent)
		c.DefaultDeadline = orDefault(c.DefaultDeadline, DefaultRequestDeadline)
		c.MaxDeadline = orDefault(c.MaxDeadline, DefaultMaxDeadline)
		classes[i] = c
	}
	p.Classes = classes
	p.MaxAttempts = orDefault(p.MaxAttempts, DefaultMaxAttempts)
	p.RetryBackoff = orDefault(p.RetryBackoff, DefaultRetryBackoff)
	return p
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// ResultKind tells how an attempt ended.
type ResultKind int

// Results of an attempt.
const (
	// Completed: the whole response was forwarded.
	Completed ResultKind = iota + 1
	// Buffered: a 5xx response was read completely and not forwarded yet.
	Buffered
	// NotSent: no byte of the request reached the executor.
	NotSent
	// NotTried: like NotSent, but the executor is not the cause.
	NotTried
	// NoResponse: the request was sent, and no response was forwarded.
	NoResponse
	// ResponseInterrupted: the response broke off after its header was forwarded.
	ResponseInterrupted
	// Cancelled: the caller disconnected.
	Cancelled
	// Superseded: another attempt of the request got its response first.
	Superseded
)

// Result is the end of an attempt.
type Result struct {
	Kind   ResultKind
	Status int // status of the response, for Completed and Buffered
	// Replayable reports that the whole request can be sent again.
	Replayable bool
	// HeaderLatency is the time from sending the request to receiving the
	// response header.
	HeaderLatency time.Duration
	// Stored is the response for a repeat of a non-idempotent request.
	Stored StoredResponse
}

// StoredResponse is the response to a non-idempotent request, kept for repeats.
type StoredResponse struct {
	Outcome     Outcome `json:"outcome"`
	Status      int     `json:"status,omitempty"`
	ContentType string  `json:"content_type,omitempty"`
	Body        []byte  `json:"body,omitempty"`
	Truncated   bool    `json:"truncated,omitempty"` // the body exceeded MaxStoredBody
}

// neverSent reports whether it is certain that no byte reached the executor.
func (k ResultKind) neverSent() bool { return k == NotSent || k == NotTried }

// MaxStoredBody is the maximum size of a response body that is kept for repeats.
const MaxStoredBody = 64 << 10

// Reason tells why a request was refused.
type Reason string

// Reasons.
const (
	ReasonQueueFull            Reason = "queue-full"
	ReasonTeamQueueFull        Reason = "team-queue-full"
	ReasonDeadlinePassed       Reason = "deadline-passed"
	ReasonDeadlineCannotBeMet  Reason = "deadline-cannot-be-met"
	ReasonUnknownClass         Reason = "unknown-class"
	ReasonUnknownService       Reason = "unknown-service"
	ReasonDraining             Reason = "draining"
	ReasonExecutorsUnreachable Reason = "executors-unreachable"
	ReasonAttemptFailed        Reason = "attempt-failed"
	ReasonTableUnavailable     Reason = "table-unavailable"
	ReasonClaimUnknown         Reason = "claim-unknown"
	ReasonRepeatOfUnfinished   Reason = "repeat-of-unfinished-request"
	ReasonCutByDrain           Reason = "cut-by-drain"
)
