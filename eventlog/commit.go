package eventlog

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Config identifies the journal of one shard in one epoch.
type Config struct {
	Shard structs.ShardID
	Epoch structs.Epoch
	// EpochCondition holds while the epoch is current: ownership.EpochCondition
	// of Shard and Epoch.
	EpochCondition provider.Condition
	NextRow        uint64 // Loaded.NextRow; 1 for an empty journal
	Seed           uint64 // seed of the retry jitter

	// MaxBatchBytes limits the total size of the payloads in one row; 256 KiB
	// if zero. A single larger payload is written in a row of its own.
	MaxBatchBytes int
	MinBackoff    time.Duration // delay after the first failed write; 100 ms if zero
	MaxBackoff    time.Duration // longest delay; 2 s if zero

	// InjectedFaults disables safety mechanisms, to verify that the fault tests
	// detect their absence. Production code leaves it zero.
	InjectedFaults InjectedFaults
}

// InjectedFaults selects deliberate faults for tests.
type InjectedFaults struct {
	SkipReadBack       bool // treat an unknown outcome as a success
	SkipEpochCondition bool // write rows without the condition on the epoch
}

func (c Config) withDefaults() Config {
	if c.NextRow == 0 {
		c.NextRow = 1
	}
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = 256 << 10
	}
	if c.MinBackoff == 0 {
		c.MinBackoff = 100 * time.Millisecond
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = 2 * time.Second
	}
	return c
}

// Append adds a payload. Sequence numbers the appends of this epoch from 1.
type Append struct {
	Sequence uint64
	Payload  []byte
}

// FlushDue starts the next write; it must be sent every FlushInterval.
type FlushDue struct{}

// CommitEnded carries the result of CommitRow; ErrKind is empty after a success.
type CommitEnded struct{ ErrKind errs.Kind }

// ReadBack carries the result of ReadRow. If ErrKind is not empty, the read
// failed and Found is meaningless.
type ReadBack struct {
	Found   bool
	Value   []byte
	ErrKind errs.Kind
}

// Kind implements structs.Event.
func (Append) Kind() string { return "journal-append" }

// Kind implements structs.Event.
func (FlushDue) Kind() string { return "journal-flush-due" }

// Kind implements structs.Event.
func (CommitEnded) Kind() string { return "journal-commit-ended" }

// Kind implements structs.Event.
func (ReadBack) Kind() string { return "journal-read-back" }

// CommitRow requests the write of a row on condition that all Conditions hold.
// Exactly one CommitEnded must follow; a timeout counts as errs.OutcomeUnknown.
type CommitRow struct {
	Key        string
	Value      []byte
	Conditions []provider.Condition
}

// ReadRow requests the row with the key. Exactly one ReadBack must follow.
type ReadRow struct{ Key string }

// Committed reports that all appends up to Sequence are durable. Row is the
// journal row that contains Sequence.
type Committed struct {
	Sequence uint64
	Row      uint64
}

// Fenced reports that the epoch has ended for this journal, usually because
// another epoch owns the shard: appends after the last Committed will not become
// durable.
type Fenced struct{}

// Kind implements structs.Effect.
func (CommitRow) Kind() string { return "journal-commit-row" }

// Kind implements structs.Effect.
func (ReadRow) Kind() string { return "journal-read-row" }

// Kind implements structs.Effect.
func (Committed) Kind() string { return "journal-committed" }

// Kind implements structs.Effect.
func (Fenced) Kind() string { return "journal-fenced" }

// FlushInterval is the time between two flushes. It limits a shard to 20 writes
// per second; a record waits 25 ms on average for the next flush.
const FlushInterval = 50 * time.Millisecond

// State is the journal of one shard in one epoch, with group commit. It is not
// safe for concurrent use.
type State struct {
	cfg          Config
	rng          *rand.Rand
	pending      [][]byte
	pendingBytes int    // total size of pending
	nextSequence uint64 // sequence number of the next append
	nextRow      uint64 // number of the next row

	inflight *batch
	fenced   bool
	backoff  time.Duration
	retryAt  structs.Timestamp
}

// batch is the one row that is being written.
type batch struct {
	key          string
	value        []byte
	lastSequence uint64 // append sequence number of its last payload
	count        int    // number of its payloads, which are the first of pending
	phase        phase
	// frozen is set after the first unknown outcome or conflict. The bytes must
	// not change from then on, because an earlier attempt may still be applied.
	frozen bool
	// conflict is set if a condition of the last attempt did not hold.
	conflict bool
}

type phase int

const (
	waitingForRetry phase = iota // the next flush after retryAt writes the row
	committing                   // a CommitRow is in progress
	outcomeUnknown               // the next flush after retryAt reads the row
	reading                      // a ReadRow is in progress
)

// New returns the journal of an epoch without any appends.
func New(cfg Config) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg: cfg, nextSequence: 1, nextRow: cfg.NextRow,
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Epoch))),
	}
}

// Backlog returns the number and the total size of the payloads that are not
// durable yet. The owner accepts no new work while the backlog is large.
func (s *State) Backlog() (payloads, size int) { return len(s.pending), s.pendingBytes }

// IsFenced reports whether Fenced has been emitted.
func (s *State) IsFenced() bool { return s.fenced }

// Reduce applies ev and returns the resulting effects.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	if s.fenced {
		return nil
	}
	switch e := ev.(type) {
	case Append:
		return s.enqueue(e)
	case FlushDue:
		return s.flush(now)
	case CommitEnded:
		return s.commitEnded(now, e.ErrKind)
	case ReadBack:
		return s.readBack(now, e)
	}
	return nil
}

// enqueue queues a payload. A sequence number other than the next one is a bug
// in the caller that would lose or repeat a record, so it fences the journal.
func (s *State) enqueue(e Append) []structs.Effect {
	if e.Sequence != s.nextSequence {
		return s.fence()
	}
	s.nextSequence++
	s.pending = append(s.pending, e.Payload)
	s.pendingBytes += len(e.Payload)
	return nil
}

func (s *State) flush(now structs.Timestamp) []structs.Effect {
	if now.Before(s.retryAt) {
		return nil
	}
	if s.inflight == nil {
		return s.startBatch()
	}
	switch s.inflight.phase {
	case waitingForRetry:
		if !s.inflight.frozen {
			return s.startBatch() // nothing was applied; include payloads that arrived since
		}
		return s.commitBatch()
	case outcomeUnknown:
		return s.readBatchRow()
	}
	return nil
}

// startBatch forms a batch from the first payloads of pending and writes it.
func (s *State) startBatch() []structs.Effect {
	s.inflight = nil
	if len(s.pending) == 0 {
		return nil
	}
	count := s.batchSize()
	first := s.nextSequence - uint64(len(s.pending))
	value, err := EncodeRow(Row{
		Shard: s.cfg.Shard, Epoch: s.cfg.Epoch, Row: s.nextRow, FirstSequence: first, Payloads: s.pending[:count],
	})
	if err != nil {
		return s.fence() // unexpected, since byte strings always encode; fence rather than lose a record
	}
	s.inflight = &batch{
		key: RowKey(s.cfg.Shard, s.nextRow), value: value, lastSequence: first + uint64(count) - 1, count: count,
	}
	return s.commitBatch()
}

// batchSize returns the number of payloads in the next row. Payloads accumulate
// while a write is in progress, so rows grow when the store is slow.
func (s *State) batchSize() int {
	size, count := 0, 0
	for _, payload := range s.pending {
		size += len(payload)
		if count > 0 && size > s.cfg.MaxBatchBytes || count == maxRowPayloads {
			break
		}
		count++
	}
	return count
}

func (s *State) commitBatch() []structs.Effect {
	s.inflight.phase = committing
	conditions := []provider.Condition{{Key: s.inflight.key, Version: 0}}
	if !s.cfg.InjectedFaults.SkipEpochCondition {
		conditions = append(conditions, s.cfg.EpochCondition)
	}
	return []structs.Effect{CommitRow{Key: s.inflight.key, Value: s.inflight.value, Conditions: conditions}}
}

func (s *State) readBatchRow() []structs.Effect {
	s.inflight.phase = reading
	return []structs.Effect{ReadRow{Key: s.inflight.key}}
}

func (s *State) commitEnded(now structs.Timestamp, kind errs.Kind) []structs.Effect {
	b := s.inflight
	if b == nil || b.phase != committing {
		return nil
	}
	if kind == errs.OutcomeUnknown && s.cfg.InjectedFaults.SkipReadBack {
		kind = ""
	}
	switch kind {
	case "":
		return s.batchCommitted()
	case errs.NotRun:
		b.phase = waitingForRetry
		s.delayRetry(now)
		return nil
	}
	b.phase = outcomeUnknown
	b.conflict = kind == errs.Conflict
	b.frozen = true
	return s.readBatchRow()
}

func (s *State) readBack(now structs.Timestamp, e ReadBack) []structs.Effect {
	b := s.inflight
	if b == nil || b.phase != reading {
		return nil
	}
	switch {
	case e.ErrKind != "":
		b.phase = outcomeUnknown
		s.delayRetry(now)
		return nil
	case e.Found && bytes.Equal(e.Value, b.value):
		return s.batchCommitted()
	case e.Found:
		return s.fence() // another epoch wrote the row
	case b.conflict:
		return s.fence() // the row is absent, so the epoch condition failed
	}
	b.phase = waitingForRetry
	s.delayRetry(now)
	return nil
}

// batchCommitted removes the durable payloads and resets the backoff.
func (s *State) batchCommitted() []structs.Effect {
	b := s.inflight
	for i := range b.count {
		s.pendingBytes -= len(s.pending[i])
		s.pending[i] = nil
	}
	s.pending = s.pending[b.count:]
	out := Committed{Sequence: b.lastSequence, Row: s.nextRow}
	s.inflight = nil
	s.nextRow++
	s.backoff, s.retryAt = 0, 0
	return []structs.Effect{out}
}

// fence drops all payloads that are not durable and ignores further events.
func (s *State) fence() []structs.Effect {
	s.fenced = true
	s.inflight, s.pending, s.pendingBytes = nil, nil, 0
	return []structs.Effect{Fenced{}}
}

// delayRetry sets the time of the next attempt. The delay doubles with each
// attempt and is randomized between half and all of it, so that shards do not
// retry simultaneously after an outage.
func (s *State) delayRetry(now structs.Timestamp) {
	s.backoff = min(max(2*s.backoff, s.cfg.MinBackoff), s.cfg.MaxBackoff)
	half := s.backoff / 2
	s.retryAt = now.Add(half + time.Duration(s.rng.Int64N(int64(half)+1)))
}
