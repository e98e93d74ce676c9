package cell

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// timedStore is a store that holds the leadership row. Its clock runs with that of an
// instance. Each answer takes the next of the given times, during which the instance
// may be paused, between the read of the store's clock and the return of the call.
type timedStore struct {
	t         *testing.T
	instance  *Instance
	ahead     structs.Timestamp // the store's clock minus the instance's
	requests  time.Duration     // how long each request takes to arrive
	answers   []time.Duration   // how long the answers take, in order; further ones take no time
	loseFirst bool              // the first commit gets no answer, although it is carried out
	row       leadership.Row
	version   uint64
}

// pass lets time pass on both clocks.
func (s *timedStore) pass(d time.Duration) { s.instance.clock.suspended.Add(int64(d)) }

// now returns the time on the store's clock.
func (s *timedStore) now() structs.Timestamp { return s.instance.clock.Now() + s.ahead }

// page returns an answer of the store after the time that it takes.
func (s *timedStore) page() tablestore.Page {
	value, err := cbor.Marshal(s.row)
	if err != nil {
		s.t.Fatal(err)
	}
	page := tablestore.Page{Version: s.version, StoreTime: time.Duration(s.now()).Truncate(time.Millisecond)}
	if s.version > 0 {
		page.Rows = []tablestore.Row{{Table: dispatch.CellTable, Key: leadershipKey, Version: s.version, Value: value}}
	}
	if len(s.answers) > 0 {
		s.pass(s.answers[0])
		s.answers = s.answers[1:]
	}
	return page
}

func (s *timedStore) Commit(tx tablestore.Tx, _ time.Duration) (tablestore.Page, error) {
	s.pass(s.requests)
	if tx.Conditions[0].Version != s.version {
		return s.page(), errs.New(errs.Conflict, "", "the row has changed")
	}
	s.version++
	s.row = leadership.Row{}
	if err := cbor.Unmarshal(tx.Puts[0].Value, &s.row); err != nil {
		s.t.Fatal(err)
	}
	page := s.page()
	if s.loseFirst {
		s.loseFirst = false
		return tablestore.Page{}, errs.New(errs.OutcomeUnknown, "", "no answer")
	}
	return page, nil
}

func (s *timedStore) Scan(tablestore.Range, time.Duration) (tablestore.Page, error) {
	s.pass(s.requests)
	return s.page(), nil
}

func (s *timedStore) Follow(string, uint64, time.Duration, time.Duration) (tablestore.Page, error) {
	return tablestore.Page{}, errs.New(errs.NotRun, "", "not used")
}

// confirmedDispatcher records the time from which the leader counts its leases.
type confirmedDispatcher struct {
	panickingDispatcher
	confirmedAt structs.Timestamp
	ahead       time.Duration
}

func (d *confirmedDispatcher) SetStoreClockAhead(ahead time.Duration) { d.ahead = ahead }

func (d *confirmedDispatcher) ConfirmLeadership(at structs.Timestamp) { d.confirmedAt = at }

// newTimedStore returns a store and the instance that calls it.
func newTimedStore(t *testing.T) *timedStore {
	t.Helper()
	s := &timedStore{t: t, ahead: structs.Timestamp(time.Hour)}
	s.instance = New(Options{ID: "self", Logger: hclog.NewNullLogger(), Store: s})
	t.Cleanup(func() { s.instance.cancel(); s.instance.transport.Close() })
	return s
}

// claim makes the instance claim the leadership after a read of the row.
func (s *timedStore) claim() *leader {
	s.t.Helper()
	row, ok := s.instance.claim(leadership.Claim{Epoch: 1, Version: s.version, StoreTime: s.now()})
	if !ok {
		s.t.Fatal("the claim has failed")
	}
	l := newLeader(s.instance, row)
	l.dispatcher = &confirmedDispatcher{confirmedAt: l.confirmedAt}
	return l
}

// commit makes the leader commit once.
func (s *timedStore) commit(l *leader) {
	s.t.Helper()
	if !l.prepareCommit(l.now()) {
		s.t.Fatal("no commit is prepared")
	}
	for range 3 { // copies, until one has an answer
		if l.pending == nil {
			return
		}
		l.pending.recordSend(l.now())
		l.sendCommit(l.pending, l.pending.tx)
		(<-l.inbox)()
	}
	s.t.Fatal("the commit has no outcome")
}

// check fails the test if the leader counts its leases from a later time than the row
// says, or if its clock is ahead of the store's.
func (s *timedStore) check(l *leader, when string) {
	s.t.Helper()
	onStore := func(at structs.Timestamp) structs.Timestamp { return at - l.clockOffset + s.ahead }
	for name, at := range map[string]structs.Timestamp{"the dispatcher": l.dispatcher.(*confirmedDispatcher).confirmedAt, "the leader": l.confirmedAt} {
		if late := onStore(at).Sub(s.row.CommittedAt); late > 0 {
			s.t.Errorf("%s: %s counts from %s after the time in the row", when, name, late)
		}
	}
	if ahead := l.now().Sub(s.now()); ahead > 0 {
		s.t.Errorf("%s: the leader's clock is %s ahead of the store's", when, ahead)
	}
}

// TestRowIsNotOlderThanItsLeases guards against leases that outlast the wait of the
// next leader, which counts them from the time in the leadership row: a leader that
// was paused while an answer of the store was on its way took that answer's time for
// the present one. Its next row was too old by the pause, and tasks ran twice.
func TestRowIsNotOlderThanItsLeases(t *testing.T) {
	s := newTimedStore(t)
	s.requests = 20 * time.Millisecond
	l := s.claim()
	for _, pause := range []time.Duration{20 * time.Millisecond, 3 * time.Second, 0, 6 * time.Second, 20 * time.Millisecond} {
		s.answers = []time.Duration{pause}
		s.commit(l)
		s.check(l, "an answer after "+pause.String())
		s.pass(100 * time.Millisecond)
	}
	s.loseFirst, s.answers = true, []time.Duration{2 * time.Second, 2 * time.Second}
	s.commit(l)
	s.check(l, "a commit whose first answer is lost")
	s.commit(l)
	s.check(l, "the commit after that")
}

// TestClaimCountsFromItsRow guards against a new leader that counts its leases from a
// later time than its row says, because it was paused during its claim, and against one
// that is ahead of the store's clock, because a read-back took long: it would end the
// leases of the previous leader too early.
func TestClaimCountsFromItsRow(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for _, request := range []time.Duration{0, time.Second} {
			for _, answer := range []time.Duration{0, 3 * time.Second} {
				s := newTimedStore(t)
				s.requests, s.loseFirst, s.answers = request, lost, []time.Duration{answer, answer}
				l := s.claim()
				when := "request " + request.String() + ", answer " + answer.String()
				if lost {
					when += ", found by reading"
				}
				s.check(l, when)
				if age := s.now().Sub(s.row.CommittedAt); l.isConfirmed() && age >= leadership.MinUnchangedTime {
					t.Errorf("%s: the leader counts as confirmed although its row is %s old", when, age)
				}
			}
		}
	}
}

// TestDispatcherKnowsStoreClock guards against stored times that the next leader, whose
// clock is closer to the store's, counts as over too early.
func TestDispatcherKnowsStoreClock(t *testing.T) {
	s := newTimedStore(t)
	s.answers = []time.Duration{3 * time.Second} // of the claim; the leader's clock is behind the store's by it
	l := s.claim()
	behind := s.now().Sub(l.now())
	s.commit(l)
	if ahead := l.dispatcher.(*confirmedDispatcher).ahead; behind < 3*time.Second || ahead < behind {
		t.Errorf("the dispatcher takes the store's clock to be ahead by %s, it is by %s", ahead, behind)
	}
}

// TestRowAgeAfterSlowAnswers guards against rows that seem too young, so that followers
// claim the leadership late: each answer bounds the store's clock, and the closest bound
// counts, also after slow ones.
func TestRowAgeAfterSlowAnswers(t *testing.T) {
	s := newTimedStore(t)
	l := s.claim()
	for range 20 {
		s.requests = 800 * time.Millisecond
		s.commit(l)
		s.pass(100 * time.Millisecond)
	}
	const limit = 50 * time.Millisecond
	if ahead := l.storeNow().Sub(s.now()); ahead < 0 || ahead > limit {
		t.Errorf("the assumed time of the store is %s ahead of it after slow requests, want 0 to %s", ahead, limit)
	}
}

// TestSuspendedClockConfirmsNothing guards against a row that is too old because the
// instance's clock stood still with its machine. The first commit after that must not
// extend leases.
func TestSuspendedClockConfirmsNothing(t *testing.T) {
	s := newTimedStore(t)
	s.requests = 20 * time.Millisecond
	l := s.claim()
	s.commit(l)
	for _, suspended := range []time.Duration{time.Second, 20 * time.Second} {
		before := l.dispatcher.(*confirmedDispatcher).confirmedAt
		s.ahead = s.ahead.Add(suspended) // no time has passed for the instance
		s.commit(l)
		if l.dispatcher.(*confirmedDispatcher).confirmedAt != before || l.confirmedAt != before {
			t.Errorf("the first commit after %s of suspension extends the leases, and its row is %s old", suspended, s.now().Sub(s.row.CommittedAt))
		}
		for range 2 {
			s.commit(l)
			s.check(l, "a later commit after a suspension")
		}
		if l.confirmedAt == before {
			t.Errorf("no commit after %s of suspension extends the leases", suspended)
		}
	}
}
