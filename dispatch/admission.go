package dispatch

import (
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// This file decides which submissions wait for a commit, how long, and when a
// refused caller should return.
//
// Load pattern: the whole store is away for several seconds at the usual load,
// and the instance that acknowledges the first submissions after its return loses
// power. No submission can be accepted before it is stored, and nobody knows when
// the store returns. Callers try for a few seconds in all and are limited to a few
// attempts. A caller that is sent away at once uses up its attempts, and is not
// there when the store returns; one that waits is accepted with the first commit.
// A submission therefore waits for most of its caller's time, unless too many wait
// already.

// RefusalReason says why a submission is refused. A refused submission is not part
// of any commit, so its job never runs.
type RefusalReason string

// Reasons for refusals.
const (
	// RefusedStoreAway means that the store did not answer in the time that the
	// submission could wait.
	RefusedStoreAway RefusalReason = "store is unavailable"
	// RefusedNotCommitted means that the store answers, but too slowly for the
	// caller's deadline.
	RefusedNotCommitted RefusalReason = "not committed in time"
	// RefusedBefore means that another copy of the request was refused.
	RefusedBefore RefusalReason = "request was refused before"
	// RefusedTooLarge means that the job cannot be stored; see CheckSize.
	RefusedTooLarge RefusalReason = "too large to be stored"
	// RefusedNoMemory means that the jobs of the cell take the memory that is set aside for
	// them; see memory.go.
	RefusedNoMemory RefusalReason = "no memory for another job"
	// RefusedTooManyWaiting means that as many submissions wait for the store as
	// the instance can hold.
	RefusedTooManyWaiting RefusalReason = "too many submissions wait for the store"
)

// CheckSize returns an error for a job that is too large to be stored in a row, with the
// policy of its queue. No commit that holds it would succeed.
func CheckSize(j *workflow.Job, q *workflow.Queue) error {
	if size := specSize(j, q); size > maxRowBytes {
		return errs.New(errs.InvalidInput, "shorten its specification and names, or split its steps over several jobs",
			"job %s takes %d bytes in the store with the policy of its queue, at most %d are possible", j.ID, size, maxRowBytes)
	}
	return nil
}

// RequestID identifies one request of a caller. The instance that took the request
// may pass it on several times.
type RequestID string

// pendingCall is a submission or a cancellation that waits for a commit.
type pendingCall struct {
	id         CallID
	request    RequestID
	receivedAt structs.Timestamp // of the first copy of the request
	deadline   structs.Timestamp // when the caller needs an answer
}

// waitsUntil returns how long the call waits for a commit: until its deadline, or
// for a share of its time while the store is away.
func (p *pendingCall) waitsUntil(storeAway bool) structs.Timestamp {
	if !storeAway {
		return p.deadline
	}
	return p.receivedAt.Add(time.Duration(outageWaitShare * float64(p.deadline.Sub(p.receivedAt))))
}

// outageWaitShare is the share of its time that a call waits while the store is
// away. With the rest, the caller can return, or do without.
const outageWaitShare = 0.8

// refusedRequests remembers the requests whose callers were told that their job
// was not accepted. A copy of such a request may still be under way, in a buffer or
// on a connection that is slower than the one of the next copy, and must not be
// accepted.
type refusedRequests struct {
	refusedAt map[RequestID]structs.Timestamp
	oldest    []RequestID // in the order of their refusal
}

// refusalMemory is longer than a copy of a request can be under way: the calls of
// instances last 3 s, and a connection without acknowledgements is closed after
// 1.5 s.
const refusalMemory = 15 * time.Second

// maxRefusedRequests limits the remembered requests to a few MB.
const maxRefusedRequests = 50_000

// add records the refusal of a request. It returns false if too many are remembered: the
// caller must not be told that the job never runs, as a copy of the request may come later.
func (r *refusedRequests) add(id RequestID, now structs.Timestamp) bool {
	if id == "" {
		return true
	}
	if r.refusedAt == nil {
		r.refusedAt = map[RequestID]structs.Timestamp{}
	}
	if _, known := r.refusedAt[id]; !known {
		if len(r.refusedAt) >= maxRefusedRequests {
			return false
		}
		r.refusedAt[id] = now
		r.oldest = append(r.oldest, id)
	}
	return true
}

// contains reports whether the request was refused.
func (r *refusedRequests) contains(id RequestID) bool {
	_, refused := r.refusedAt[id]
	return refused && id != ""
}

// prune forgets refusals that are older than refusalMemory.
func (r *refusedRequests) prune(now structs.Timestamp) {
	for len(r.oldest) > 0 && now.Sub(r.refusedAt[r.oldest[0]]) > refusalMemory {
		delete(r.refusedAt, r.oldest[0])
		r.oldest = r.oldest[1:]
	}
}

// maxWaitingSubmissions limits the submissions that wait for a commit while the
// store is away. A job of ten tasks takes 3 KB of memory, so they take 12 MB.
const maxWaitingSubmissions = 4096

// canWait reports whether another submission may wait for a commit.
func canWait(storeAway bool, waiting int) bool { return !storeAway || waiting < maxWaitingSubmissions }

// outageHistory knows the current outage of the store and the lengths of earlier
// ones, and predicts when the store returns. Times are those of the leader, so the
// history begins with its leadership.
type outageHistory struct {
	since   structs.Timestamp // start of the current outage; 0 if there is none
	lengths []time.Duration   // of the latest outages, oldest first
}

const (
	// rememberedOutages is how many outages are remembered.
	rememberedOutages = 8
	minRetryAfter     = time.Second // shortest time that the header can express
	maxRetryAfter     = 8 * time.Second
)

// isAway reports whether the store is away.
func (h *outageHistory) isAway() bool { return h.since != 0 }

// began records that the store has not answered since the given time.
func (h *outageHistory) began(since structs.Timestamp) {
	if !h.isAway() {
		h.since = since
	}
}

// ended records that the store answers.
func (h *outageHistory) ended(now structs.Timestamp) {
	if !h.isAway() {
		return
	}
	h.lengths = append(h.lengths, now.Sub(h.since))
	h.lengths = h.lengths[max(0, len(h.lengths)-rememberedOutages):]
	h.since = 0
}

// remaining predicts how much longer the store is away: the mean over the earlier
// outages that lasted longer than the current one has so far. If none did, an
// outage is expected to last as long again as it has lasted.
func (h *outageHistory) remaining(now structs.Timestamp) time.Duration {
	if !h.isAway() {
		return 0
	}
	elapsed := now.Sub(h.since)
	var sum, longer time.Duration
	for _, length := range h.lengths {
		if length > elapsed {
			sum += length - elapsed
			longer++
		}
	}
	if longer > 0 {
		return sum / longer
	}
	return elapsed
}

// retryAfter returns when a refused caller should return: when the store is
// expected, the callers of urgent queues first.
func (h *outageHistory) retryAfter(now structs.Timestamp, priority int) time.Duration {
	wait := h.remaining(now)
	if priority > 0 {
		wait += time.Second
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
