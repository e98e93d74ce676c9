package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// storePath decides whether calls of one kind go to the store directly or are
// relayed by a peer because the store does not answer this instance. The log
// calls relayed calls "assisted". storePath does no I/O.
//
// Commits must go on while this instance is cut off from the store for a few
// seconds. After a single lost answer, commits must not be relayed for longer
// than needed: the link and the processor of the peer may have a twentieth of
// the leader's capacity, and the peer may be in another region.
type storePath struct {
	purpose        string    // kind of the calls, for the log
	directRetryAt  time.Time // earliest time for the next direct call
	relayRetryAt   time.Time // earliest time for the next relayed call
	relayed        bool      // a relayed call was answered after a direct one was not
	probeSuccesses int       // consecutive direct probes with an answer
	directReturns  int       // number of times that calls became direct again
}

const (
	// directRetryDelay is how long no direct call is made after one had no answer.
	directRetryDelay = time.Second
	// relayRetryDelay is how long no relayed call is made after one failed: the
	// store is probably unavailable to all instances.
	relayRetryDelay = 600 * time.Millisecond
	// probeInterval is the time between direct probes while calls are relayed.
	probeInterval = 300 * time.Millisecond
	// probeTimeout allows for a round trip of 60 ms and a lost packet.
	probeTimeout = 400 * time.Millisecond
	// probesUntilDirect distinguishes a path that works from one that loses some
	// of the answers.
	probesUntilDirect = 2
)

// choose returns which kinds of calls may be made now. While calls are relayed,
// only probes test the direct path, because a call without an answer takes up
// its whole timeout.
func (p *storePath) choose(now time.Time) (direct, relay bool) {
	relay = !now.Before(p.relayRetryAt)
	return !relay || (!p.relayed && !now.Before(p.directRetryAt)), relay
}

// directAnswered records that the store answered a direct call and reports
// whether calls were relayed before.
func (p *storePath) directAnswered() bool {
	was := p.relayed
	if was {
		p.directReturns++
	}
	p.relayed, p.directRetryAt, p.probeSuccesses = false, time.Time{}, 0
	return was
}

// directUnanswered records a direct call without an answer. The next call is
// relayed, not this one: a second wait within one call would double the time
// until the store's recovery is noticed.
func (p *storePath) directUnanswered(now time.Time) { p.directRetryAt = now.Add(directRetryDelay) }

// relayAnswered records an answer to a relayed call and reports whether calls
// were direct before. returnsAtStart is the value of directReturns when the call
// began. An answer that arrives after calls have become direct again, as it may
// for a feed, says nothing about the direct path and is ignored.
func (p *storePath) relayAnswered(returnsAtStart int) bool {
	if p.relayed || returnsAtStart != p.directReturns {
		return false
	}
	p.relayed = true
	return true
}

// relayFailed records that no peer could relay a call.
func (p *storePath) relayFailed(now time.Time) {
	p.relayRetryAt, p.directRetryAt = now.Add(relayRetryDelay), time.Time{}
}

// recordProbe records the result of a direct probe and reports whether it makes
// calls direct again.
func (p *storePath) recordProbe(answered bool) bool {
	if !answered {
		p.probeSuccesses = 0
		return false
	}
	p.probeSuccesses++
	return p.probeSuccesses >= probesUntilDirect && p.directAnswered()
}

// followerInfo describes a follower that can relay calls to the store or
// succeed the leader.
type followerInfo struct {
	id             structs.InstanceID
	processorShare float64       // processor share in cores
	roundTrip      time.Duration // from the leader and back; 0 if unknown
	uptime         time.Duration // of its process; 0 if unknown
}

// sortByProcessorShare sorts by descending processor share and then by round trip,
// and returns the list. The share comes first because a commit of 100 rows
// takes 0.3 s on the 10 Mbit/s link of a small instance.
func sortByProcessorShare(list []followerInfo) []followerInfo {
	slices.SortFunc(list, func(a, b followerInfo) int {
		return cmp.Or(cmp.Compare(b.processorShare, a.processorShare), cmp.Compare(a.roundTrip, b.roundTrip), cmp.Compare(a.id, b.id))
	})
	return list
}
