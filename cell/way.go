package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// way decides how calls of one kind reach the store: directly, or by way of a
// peer while the store turns this instance away. It does no I/O.
//
// It answers two loads. A cut of a few seconds must not stop the commits. A
// single lost answer must not leave them with a peer for longer than needed:
// its link and processor may be a twentieth of the leader's, and it may be a
// region away.
type way struct {
	use        string    // what the calls are for, for the log
	directFrom time.Time // no direct call before this time
	assistFrom time.Time // no assisted call before this time
	assisted   bool      // a peer's call was answered after a direct one was not
	probes     int       // successive direct probes with an answer
	turns      int       // how often calls have become direct again
}

const (
	// directPause is how long direct calls rest after one had no answer.
	directPause = time.Second
	// assistPause is how long assisted calls rest after one failed: the store
	// is probably away for all.
	assistPause = 600 * time.Millisecond
	// probeEvery separates direct probes while a peer makes the calls.
	probeEvery = 300 * time.Millisecond
	// probeTimeout bounds a probe: a round trip of 60 ms and a lost packet.
	probeTimeout = 400 * time.Millisecond
	// probesToReturn tells a way that works from one that loses answers.
	probesToReturn = 2
)

// choose tells which calls may be made. While a peer makes the calls, probes
// find out when the direct way works again, as a call without an answer costs
// its whole time limit.
func (w *way) choose(now time.Time) (direct, assist bool) {
	assist = !now.Before(w.assistFrom)
	return !assist || (!w.assisted && !now.Before(w.directFrom)), assist
}

// directAnswered reports whether calls were assisted before.
func (w *way) directAnswered() bool {
	was := w.assisted
	if was {
		w.turns++
	}
	w.assisted, w.directFrom, w.probes = false, time.Time{}, 0
	return was
}

// directUnanswered makes the next call an assisted one. Waiting for a second
// answer within one call would double the time in which the store's return
// goes unnoticed.
func (w *way) directUnanswered(now time.Time) { w.directFrom = now.Add(directPause) }

// assistAnswered takes over an answer to an assisted call that began after
// the given number of turns, and reports whether calls were direct before. A
// feed's call may be answered after calls have become direct again, and says
// nothing about the direct way then.
func (w *way) assistAnswered(turns int) bool {
	if w.assisted || turns != w.turns {
		return false
	}
	w.assisted = true
	return true
}

func (w *way) assistFailed(now time.Time) {
	w.assistFrom, w.directFrom = now.Add(assistPause), time.Time{}
}

// probed takes over the result of a direct probe and reports whether calls
// are direct again.
func (w *way) probed(answered bool) bool {
	if !answered {
		w.probes = 0
		return false
	}
	w.probes++
	return w.probes >= probesToReturn && w.directAnswered()
}

// helper is a peer as a caller of the store.
type helper struct {
	id        structs.InstanceID
	share     float64       // of a processor, in cores
	roundTrip time.Duration // to the peer; 0 if unknown
}

// byStrength orders helpers: the strongest first, as a commit of 100 rows
// takes 0.3 s on a link of 10 Mbit/s, then the nearest.
func byStrength(list []helper) []helper {
	slices.SortFunc(list, func(a, b helper) int {
		return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.roundTrip, b.roundTrip), cmp.Compare(a.id, b.id))
	})
	return list
}
