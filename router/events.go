package router

import (
	"time"

	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// RequestArrived admits a request. Ref must be new.
type RequestArrived struct {
	Ref     Ref
	Request Request
}

// CallerDisconnected reports that the caller of a request disconnected.
type CallerDisconnected struct{ Ref Ref }

// AttemptEnded reports the end of an attempt that Send started.
type AttemptEnded struct {
	Ref     Ref
	Attempt int
	Result  Result
}

// ClaimEnded reports the result of a WriteClaim.
type ClaimEnded struct {
	Ref    Ref
	Result ClaimResult
	Stored StoredResponse // for ClaimRepeated
}

// GrantReceived is a grant from the owner of the executors of a region.
type GrantReceived struct{ Grant credits.Grant }

// ExecutorsListed replaces the list of executors.
type ExecutorsListed struct{ Executors []structs.Executor }

// PolicyChanged replaces the policy.
type PolicyChanged struct{ Policy Policy }

// DrainStarted makes the router refuse new requests. Admitted requests continue.
type DrainStarted struct{}

// Tick advances deadlines, retries, leases and credit requests.
type Tick struct{}

// Kind implements structs.Event.
func (*RequestArrived) Kind() string { return "request-arrived" }

// Kind implements structs.Event.
func (*CallerDisconnected) Kind() string { return "caller-gone" }

// Kind implements structs.Event.
func (*AttemptEnded) Kind() string { return "attempt-ended" }

// Kind implements structs.Event.
func (*ClaimEnded) Kind() string { return "claim-ended" }

// Kind implements structs.Event.
func (*GrantReceived) Kind() string { return "credits-delivered" }

// Kind implements structs.Event.
func (*ExecutorsListed) Kind() string { return "executors-listed" }

// Kind implements structs.Event.
func (*PolicyChanged) Kind() string { return "policy-changed" }

// Kind implements structs.Event.
func (*DrainStarted) Kind() string { return "drain-started" }

// Kind implements structs.Event.
func (*Tick) Kind() string { return "tick" }

// Send starts an attempt. The gateway ends it at Deadline at the latest.
type Send struct {
	Ref      Ref
	Attempt  int
	Executor structs.ExecutorID
	Address  string
	Deadline structs.Timestamp
	// MayRetry: a 5xx response is read completely and reported as Buffered
	// before any of it is forwarded.
	MayRetry bool
	// Hedge: the attempt runs in parallel with a slow earlier one. The first
	// response is used.
	Hedge bool
}

// Refuse responds to the caller with an error of the router.
type Refuse struct {
	Ref        Ref
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

// Deliver forwards the buffered response of the last attempt.
type Deliver struct{ Ref Ref }

// Replay responds to a repeat with a stored response.
type Replay struct {
	Ref    Ref
	Stored StoredResponse
}

// CancelAttempt cancels an attempt; AttemptEnded follows.
type CancelAttempt struct {
	Ref     Ref
	Attempt int
}

// ExtendAttempt changes the deadline of a running attempt after its credit was
// renewed.
type ExtendAttempt struct {
	Ref      Ref
	Attempt  int
	Deadline structs.Timestamp
}

// WriteClaim makes the claim of a request durable; ClaimEnded follows.
type WriteClaim struct {
	Ref      Ref
	Team     structs.TeamID
	ID       string
	Deadline structs.Timestamp
}

// StoreOutcome stores the response to a claimed request.
type StoreOutcome struct {
	Ref    Ref
	Team   structs.TeamID
	ID     string
	Stored StoredResponse
}

// ReleaseClaim removes the claim of a request that was certainly never sent.
type ReleaseClaim struct {
	Ref  Ref
	Team structs.TeamID
	ID   string
}

// RequestCredits tells the owner of a region's executors what this instance
// needs and holds.
type RequestCredits struct {
	Region  structs.Region
	Request credits.Request
}

// ConnectionsChanged sets the number of connections that may be open to an
// executor. Connections 0 closes all idle ones.
type ConnectionsChanged struct {
	Executor    structs.ExecutorID
	Address     string
	Connections int
	Slots       int // maximum number of connections in use at a time; more idle ones are useless
}

// RequestObserved reports the end of a request for counters and histograms.
type RequestObserved struct {
	Team    structs.TeamID
	Class   structs.ClassName
	Outcome Outcome // empty if the caller disconnected
	Wait    time.Duration
	Total   time.Duration
}

// ExecutorChanged reports a change of an executor's health.
type ExecutorChanged struct {
	Executor structs.ExecutorID
	Health   Health
}

// Kind implements structs.Effect.
func (Send) Kind() string { return "send" }

// Kind implements structs.Effect.
func (Refuse) Kind() string { return "refuse" }

// Kind implements structs.Effect.
func (Deliver) Kind() string { return "deliver" }

// Kind implements structs.Effect.
func (Replay) Kind() string { return "replay" }

// Kind implements structs.Effect.
func (CancelAttempt) Kind() string { return "cancel-attempt" }

// Kind implements structs.Effect.
func (ExtendAttempt) Kind() string { return "extend-attempt" }

// Kind implements structs.Effect.
func (WriteClaim) Kind() string { return "write-claim" }

// Kind implements structs.Effect.
func (StoreOutcome) Kind() string { return "store-outcome" }

// Kind implements structs.Effect.
func (ReleaseClaim) Kind() string { return "release-claim" }

// Kind implements structs.Effect.
func (RequestCredits) Kind() string { return "request-credits" }

// Kind implements structs.Effect.
func (ConnectionsChanged) Kind() string { return "connections-changed" }

// Kind implements structs.Effect.
func (RequestObserved) Kind() string { return "request-observed" }

// Kind implements structs.Effect.
func (ExecutorChanged) Kind() string { return "executor-changed" }
