package eventlog

import (
	"context"
	"testing"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

const shard = structs.ShardID("oshima")

var guard = provider.Condition{Key: "epochs/oshima", Version: 1}

// testJournal runs one State with a stand-in store in virtual time.
type testJournal struct {
	store     *standin.Store
	state     *State
	now       structs.Timestamp
	next      uint64
	committed Committed
	fenced    bool
	faults    []standin.Fault // faults to inject into the next commits
}

func newTestJournal(t testing.TB, cfg Config) *testJournal {
	r := &testJournal{store: standin.NewStore(), now: 1, next: 1}
	advanceEpoch(t, r.store, 0)
	r.store.Fault = func(op string) standin.Fault {
		if op != "commit" || len(r.faults) == 0 {
			return standin.Fault{}
		}
		fault := r.faults[0]
		r.faults = r.faults[1:]
		return fault
	}
	cfg.Shard, cfg.Epoch, cfg.EpochCondition = shard, 1, guard
	r.state = New(cfg)
	return r
}

// advanceEpoch writes the epoch row, whose version must be from, so that guard
// of that version no longer holds.
func advanceEpoch(t testing.TB, store *standin.Store, from uint64) {
	t.Helper()
	_, err := store.Commit(context.Background(), provider.Txn{
		Conditions: []provider.Condition{{Key: guard.Key, Version: from}},
		Writes:     []provider.Write{{Key: guard.Key, Value: []byte("x")}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (r *testJournal) send(ev structs.Event) {
	for _, effect := range r.state.Reduce(r.now, ev) {
		switch e := effect.(type) {
		case Committed:
			r.committed = e
		case Fenced:
			r.fenced = true
		}
		if answer := Execute(context.Background(), r.store, effect); answer != nil {
			r.send(answer)
		}
	}
}

func (r *testJournal) appendPayload(payload string) {
	r.send(Append{Sequence: r.next, Payload: []byte(payload)})
	r.next++
}

func (r *testJournal) flush(times int) {
	for range times {
		r.now = r.now.Add(FlushInterval)
		r.send(FlushDue{})
	}
}

func (r *testJournal) load(t *testing.T) Loaded {
	t.Helper()
	loaded, err := Load(context.Background(), Store{r.store, r.store.Objects()}, shard)
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

func payloadText(entries []Entry) string {
	out := ""
	for _, e := range entries {
		out += string(e.Payload)
	}
	return out
}

// Guards against losing, duplicating or reordering records when the store is
// unavailable or loses the replies of writes.
func TestEveryRecordOnceUnderFaults(t *testing.T) {
	for mask := range 64 {
		r := newTestJournal(t, Config{Seed: uint64(mask)})
		for bit := range 3 {
			kind := mask >> (2 * bit) & 3
			r.faults = append(r.faults, standin.Fault{Unavailable: kind == 1, LoseReply: kind == 2})
		}
		for _, payload := range []string{"a", "b", "c", "d"} {
			r.appendPayload(payload)
			r.flush(1)
		}
		r.flush(200)
		if got := payloadText(r.load(t).Entries); got != "abcd" || r.committed.Sequence != 4 || r.fenced {
			t.Fatalf("mask %d: journal = %q, committed = %+v, fenced = %v", mask, got, r.committed, r.fenced)
		}
	}
}

// Guards against a paused owner that still commits records after its shard was
// taken over, and against mistaking a row of the new epoch for its own.
func TestEpochChangeFences(t *testing.T) {
	for _, foreignRow := range []bool{false, true} {
		r := newTestJournal(t, Config{})
		r.appendPayload("a")
		r.flush(1)
		advanceEpoch(t, r.store, 1)
		if foreignRow {
			next := newTestJournal(t, Config{NextRow: 2})
			next.store, next.state.cfg.EpochCondition = r.store, provider.Condition{Key: guard.Key, Version: 2}
			next.appendPayload("z")
			next.flush(1)
		}
		r.appendPayload("b")
		r.flush(1)
		if !r.fenced || r.committed.Sequence != 1 {
			t.Fatalf("fenced = %v, committed = %+v, want fenced after 1", r.fenced, r.committed)
		}
	}
}

// Guards against a wrong result when the shard is taken over while the outcome
// of a write is unknown: a row that took effect must be reported as committed
// before the journal is fenced.
func TestLostReplyThenFenced(t *testing.T) {
	r := newTestJournal(t, Config{})
	r.appendPayload("a")
	for _, effect := range r.state.Reduce(r.now, FlushDue{}) {
		Execute(context.Background(), r.store, effect) // took effect; the reply is lost
	}
	advanceEpoch(t, r.store, 1)
	r.send(CommitEnded{ErrKind: errs.OutcomeUnknown})
	r.appendPayload("b")
	r.flush(5)
	if !r.fenced || r.committed.Sequence != 1 {
		t.Fatalf("fenced = %v, committed = %+v, want 1 committed, then fenced", r.fenced, r.committed)
	}
}

// Guards against flooding the store with writes after an outage, and against
// shards that all retry at the same time.
func TestCatchUpIsBoundedAndJittered(t *testing.T) {
	resumedAt := map[structs.Timestamp]bool{}
	for seed := range uint64(16) {
		r := newTestJournal(t, Config{Seed: seed})
		for range 100 {
			r.faults = append(r.faults, standin.Fault{Unavailable: true})
		}
		for range 2000 {
			r.appendPayload(string(make([]byte, 1<<10)))
		}
		for len(r.faults) > 0 {
			r.flush(1)
		}
		writes, _ := r.store.Counts()
		for r.committed.Sequence == 0 {
			r.flush(1)
		}
		resumedAt[r.now] = true
		r.flush(20)
		after, _ := r.store.Counts()
		if left, _ := r.state.Backlog(); left != 0 || after-writes > 8 {
			t.Fatalf("seed %d: %d payloads left, %d writes for 2,000 KiB, want 8 of 256 KiB", seed, left, after-writes)
		}
	}
	if len(resumedAt) < 4 {
		t.Fatalf("16 shards resume at only %d distinct flushes", len(resumedAt))
	}
}

// Guards against a number of store writes proportional to the number of task
// starts. The target is under 150 writes/s at 1,200 starts/s in a cell with six
// shards, including lease renewals and snapshots. The baseline is one write per
// start.
func TestStoreWritesPerStart(t *testing.T) {
	const shards, seconds, starts = 6, 10, 1200
	var writes uint64
	for range shards {
		r := newTestJournal(t, Config{})
		before, _ := r.store.Counts()
		for i := range seconds * starts / shards {
			r.appendPayload("start record")
			if i%(starts/shards/20) == 0 {
				r.flush(1)
			}
		}
		r.flush(2)
		after, _ := r.store.Counts()
		writes += after - before
		if left, _ := r.state.Backlog(); left != 0 {
			t.Fatalf("%d records not durable", left)
		}
	}
	perSecond := float64(writes) / seconds
	perSecond += perSecond / 500 * 4 // a snapshot every 500 rows: object, pointer, old object, truncation
	perSecond += shards * 0.5        // one renewal every 2 s
	t.Logf("%.1f writes/s for %d starts/s in %d shards: %.3f writes per start", perSecond, starts, shards, perSecond/starts)
	if perSecond >= 150 {
		t.Errorf("%.1f writes/s, want under 150", perSecond)
	}
}

// Guards against rows that stay small when writes are slow.
func TestBatchesGrowWhenStoreIsSlow(t *testing.T) {
	for _, slow := range []int{1, 10, 40} { // flush intervals that one write takes
		r := newTestJournal(t, Config{})
		r.appendPayload("x")
		commits := r.state.Reduce(r.now, FlushDue{})
		for range slow {
			for range 10 {
				r.appendPayload("x")
			}
			r.now = r.now.Add(FlushInterval)
			if extra := r.state.Reduce(r.now, FlushDue{}); len(extra) != 0 {
				t.Fatalf("a second write was started: %v", extra)
			}
		}
		r.send(Execute(context.Background(), r.store, commits[0]))
		r.flush(1)
		if want := uint64(1 + 10*slow); r.committed.Sequence != want || r.committed.Row != 2 {
			t.Errorf("slow %d: committed = %+v, want %d appends in 2 rows", slow, r.committed, want)
		}
	}
}

func commitOf(key string, value []byte) provider.Txn {
	return provider.Txn{Writes: []provider.Write{{Key: key, Value: value}}}
}
