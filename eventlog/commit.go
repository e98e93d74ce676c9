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
	// Guard is the condition that holds as long as the epoch does:
	// ownership.EpochCondition of Shard and Epoch.
	Guard   provider.Condition
	NextRow uint64 // Loaded.NextRow; 1 for an empty journal
	Seed    uint64 // of the jitter

	// MaxBatchBytes bounds the payloads of one row; 256 KiB if zero. A larger
	// single payload still gets a row of its own.
	MaxBatchBytes int
	MinBackoff    time.Duration // after the first refused write; 100 ms if zero
	MaxBackoff    time.Duration // 2 s if zero

	// Defects switches mechanisms off so that fault tests can prove that they
	// notice. Production code leaves it zero.
	Defects Defects
}

// Defects are deliberate faults for tests.
type Defects struct {
	SkipReadBack  bool // take an unknown outcome for a success
	SkipEpochTest bool // write rows without the condition on the epoch
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

// Append adds a payload. Sequence counts the appends of this epoch from 1.
type Append struct {
	Sequence uint64
	Payload  []byte
}

// FlushDue is due every FlushInterval.
type FlushDue struct{}

// CommitEnded answers CommitRow; ErrKind is empty after a success.
type CommitEnded struct{ ErrKind errs.Kind }

// ReadBack answers ReadRow. If ErrKind is not empty the read failed and Found
// says nothing.
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

// CommitRow asks for the write of a row under all conditions. It is answered
// by exactly one CommitEnded; a timeout counts as errs.OutcomeUnknown.
type CommitRow struct {
	Key        string
	Value      []byte
	Conditions []provider.Condition
}

// ReadRow asks for the row with the key. It is answered by exactly one ReadBack.
type ReadRow struct{ Key string }

// Committed tells that all appends up to Sequence are durable. Row is the
// journal row that holds Sequence.
type Committed struct {
	Sequence uint64
	Row      uint64
}

// Fenced tells that another epoch owns the shard: nothing after the last
// Committed is durable and nothing will be.
type Fenced struct{}

// Kind implements structs.Effect.
func (CommitRow) Kind() string { return "journal-commit-row" }

// Kind implements structs.Effect.
func (ReadRow) Kind() string { return "journal-read-row" }

// Kind implements structs.Effect.
func (Committed) Kind() string { return "journal-committed" }

// Kind implements structs.Effect.
func (Fenced) Kind() string { return "journal-fenced" }

// FlushInterval is the time between two flushes: a shard costs at most 20
// writes per second, and a record waits 25 ms on average.
const FlushInterval = 50 * time.Millisecond

// State is the group commit of one shard in one epoch. It is not safe for
// concurrent use.
type State struct {
	cfg     Config
	rng     *rand.Rand
	pending [][]byte
	bytes   int    // of pending
	next    uint64 // append sequence that is expected next
	row     uint64 // number of the next row

	inflight *batch
	fenced   bool
	backoff  time.Duration
	retryAt  structs.Timestamp
}

// batch is one row on its way.
type batch struct {
	key   string
	value []byte
	last  uint64 // append sequence of its last payload
	count int    // payloads at the head of pending
	phase phase
	// frozen is set after the first unknown outcome: an earlier attempt may
	// still be applied, so the bytes must not change.
	frozen bool
	// conflict is set if the last attempt failed a condition.
	conflict bool
}

type phase int

const (
	idle       phase = iota // waits for a retry
	committing              // a CommitRow is out
	unknown                 // a read is needed
	reading                 // a ReadRow is out
)

// New returns the state of an epoch that has appended nothing yet.
func New(cfg Config) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg: cfg, next: 1, row: cfg.NextRow,
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Epoch))),
	}
}

// Backlog returns the number and the bytes of the payloads that are not
// durable. The owner accepts no new work while it is large.
func (s *State) Backlog() (payloads, size int) { return len(s.pending), s.bytes }

// IsFenced reports whether the epoch has ended.
func (s *State) IsFenced() bool { return s.fenced }

// Reduce applies ev and returns the resulting effects.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	if s.fenced {
		return nil
	}
	switch e := ev.(type) {
	case Append:
		return s.add(e)
	case FlushDue:
		return s.flush(now)
	case CommitEnded:
		return s.commitEnded(now, e.ErrKind)
	case ReadBack:
		return s.readBack(now, e)
	}
	return nil
}

// add queues a payload. A sequence that is not the next one is a fault of the
// caller that would lose or repeat a record, so the epoch ends.
func (s *State) add(e Append) []structs.Effect {
	if e.Sequence != s.next {
		return s.fence()
	}
	s.next++
	s.pending = append(s.pending, e.Payload)
	s.bytes += len(e.Payload)
	return nil
}

func (s *State) flush(now structs.Timestamp) []structs.Effect {
	if now.Before(s.retryAt) {
		return nil
	}
	if s.inflight == nil {
		return s.start()
	}
	switch s.inflight.phase {
	case idle:
		if !s.inflight.frozen {
			return s.start() // nothing was applied; take what has arrived since
		}
		return s.commit()
	case unknown:
		return s.read()
	}
	return nil
}

// start forms a batch from the head of pending.
func (s *State) start() []structs.Effect {
	s.inflight = nil
	if len(s.pending) == 0 {
		return nil
	}
	count := s.batchSize()
	first := s.next - uint64(len(s.pending))
	value, err := EncodeRow(Row{
		Shard: s.cfg.Shard, Epoch: s.cfg.Epoch, Row: s.row, First: first, Payloads: s.pending[:count],
	})
	if err != nil {
		return s.fence() // byte strings always encode; end the epoch rather than lose a record
	}
	s.inflight = &batch{
		key: RowKey(s.cfg.Shard, s.row), value: value, last: first + uint64(count) - 1, count: count,
	}
	return s.commit()
}

// batchSize returns how many payloads the next row takes. While a write is
// out, payloads gather, so rows grow when the store is slow.
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

func (s *State) commit() []structs.Effect {
	s.inflight.phase = committing
	conditions := []provider.Condition{{Key: s.inflight.key, Version: 0}}
	if !s.cfg.Defects.SkipEpochTest {
		conditions = append(conditions, s.cfg.Guard)
	}
	return []structs.Effect{CommitRow{Key: s.inflight.key, Value: s.inflight.value, Conditions: conditions}}
}

func (s *State) read() []structs.Effect {
	s.inflight.phase = reading
	return []structs.Effect{ReadRow{Key: s.inflight.key}}
}

func (s *State) commitEnded(now structs.Timestamp, kind errs.Kind) []structs.Effect {
	b := s.inflight
	if b == nil || b.phase != committing {
		return nil
	}
	if kind == errs.OutcomeUnknown && s.cfg.Defects.SkipReadBack {
		kind = ""
	}
	switch kind {
	case "":
		return s.done()
	case errs.NotRun:
		b.phase = idle
		s.delay(now)
		return nil
	}
	b.phase = unknown
	b.conflict = kind == errs.Conflict
	b.frozen = true
	return s.read()
}

func (s *State) readBack(now structs.Timestamp, e ReadBack) []structs.Effect {
	b := s.inflight
	if b == nil || b.phase != reading {
		return nil
	}
	switch {
	case e.ErrKind != "":
		b.phase = unknown
		s.delay(now)
		return nil
	case e.Found && bytes.Equal(e.Value, b.value):
		return s.done()
	case e.Found:
		return s.fence() // another epoch wrote the row
	case b.conflict:
		return s.fence() // the row is absent, so the epoch condition failed
	}
	b.phase = idle
	s.delay(now)
	return nil
}

func (s *State) done() []structs.Effect {
	b := s.inflight
	for i := range b.count {
		s.bytes -= len(s.pending[i])
		s.pending[i] = nil
	}
	s.pending = s.pending[b.count:]
	out := Committed{Sequence: b.last, Row: s.row}
	s.inflight = nil
	s.row++
	s.backoff, s.retryAt = 0, 0
	return []structs.Effect{out}
}

func (s *State) fence() []structs.Effect {
	s.fenced = true
	s.inflight, s.pending, s.bytes = nil, nil, 0
	return []structs.Effect{Fenced{}}
}

// delay doubles the wait before the next attempt and takes a random point of
// its upper half, so that shards do not return together after an outage.
func (s *State) delay(now structs.Timestamp) {
	s.backoff = min(max(2*s.backoff, s.cfg.MinBackoff), s.cfg.MaxBackoff)
	half := s.backoff / 2
	s.retryAt = now.Add(half + time.Duration(s.rng.Int64N(int64(half)+1)))
}
