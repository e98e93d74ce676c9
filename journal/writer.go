package journal

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/platform"
	"github.com/mangodrum/mangodrum/structs"
)

// WriterConfig is what a Writer needs.
type WriterConfig struct {
	Config
	Table       platform.Table
	Now         func() structs.Timestamp
	CallTimeout time.Duration // of one table call; 2 s if zero

	// Committed and Fenced are called from the writer's goroutine, in order.
	// They must not block for long and must not call Close.
	Committed func(Committed)
	Fenced    func()
}

// Writer runs the group commit against a table in one goroutine.
type Writer struct {
	cfg    WriterConfig
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu      sync.Mutex // guards the fields below
	state   *State
	next    uint64
	closed  bool
	effects []structs.Effect // of Append, for the goroutine
}

// NewWriter starts a writer. Close must be called.
func NewWriter(cfg WriterConfig) (*Writer, error) {
	if err := validShard(cfg.Shard); err != nil {
		return nil, err
	}
	if cfg.Guard.Key == "" || cfg.Epoch == 0 {
		return nil, errs.New(errs.InvalidInput, "pass the epoch of ownership.Acquired and its EpochCondition",
			"journal writer of shard %q has no epoch", cfg.Shard)
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = 2 * time.Second
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{cfg: cfg, cancel: cancel, state: New(cfg.Config), next: 1}
	w.group.Go(func() { w.run(ctx) })
	return w, nil
}

// Append queues a payload and returns its append sequence. It does not wait
// for the commit; Committed reports it. An error of kind errs.NotRun means
// that the payload will never be durable.
func (w *Writer) Append(ctx context.Context, payload []byte) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, errs.Wrap(err, errs.NotRun, "try again", "append to journal of shard %q", w.cfg.Shard)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.state.IsFenced() {
		return 0, errs.New(errs.NotRun, "send the request to the shard's owner",
			"journal of shard %q is closed for epoch %d", w.cfg.Shard, w.cfg.Epoch)
	}
	sequence := w.next
	w.next++
	w.effects = append(w.effects, w.state.Reduce(w.cfg.Now(), Append{Sequence: sequence, Payload: payload})...)
	return sequence, nil
}

// Backlog returns the number and the bytes of the payloads that are not durable.
func (w *Writer) Backlog() (payloads, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Backlog()
}

// Flush waits until everything appended so far is durable, the epoch is fenced
// or ctx ends. A planned hand-over calls it first.
func (w *Writer) Flush(ctx context.Context) error {
	ticker := time.NewTicker(FlushInterval / 5)
	defer ticker.Stop()
	for {
		w.mu.Lock()
		fenced := w.state.IsFenced()
		left, _ := w.state.Backlog()
		w.mu.Unlock()
		switch {
		case fenced:
			return errs.New(errs.Conflict, "load the journal again if the shard comes back", "journal of shard %q is fenced", w.cfg.Shard)
		case left == 0:
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.OutcomeUnknown, "wait for the store", "flush journal of shard %q", w.cfg.Shard)
		}
	}
}

// Close stops the writer and waits for its goroutine. What is not durable yet
// may or may not become durable; a later owner sees it in its Load.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	w.group.Wait()
}

func (w *Writer) run(ctx context.Context) {
	ticker := time.NewTicker(FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.drive(ctx, FlushDue{})
		}
	}
}

// drive applies ev and carries out effects until none is left.
func (w *Writer) drive(ctx context.Context, ev structs.Event) {
	for ev != nil {
		w.mu.Lock()
		effects := append(w.effects, w.state.Reduce(w.cfg.Now(), ev)...)
		w.effects = nil
		w.mu.Unlock()
		ev = nil
		for _, effect := range effects {
			if answer := w.execute(ctx, effect); answer != nil {
				ev = answer
			}
		}
	}
}

// execute carries out one effect. The reducer emits at most one table call at
// a time, so at most one effect of a list has an answer.
func (w *Writer) execute(ctx context.Context, effect structs.Effect) structs.Event {
	switch e := effect.(type) {
	case Committed:
		w.cfg.Committed(e)
	case Fenced:
		w.cfg.Fenced()
	default:
		ctx, cancel := context.WithTimeout(ctx, w.cfg.CallTimeout)
		defer cancel()
		return Execute(ctx, w.cfg.Table, effect)
	}
	return nil
}

// Execute carries out a CommitRow or ReadRow effect and returns the event that
// answers it, or nil for every other effect.
func Execute(ctx context.Context, table platform.Table, effect structs.Effect) structs.Event {
	switch e := effect.(type) {
	case CommitRow:
		_, err := table.Commit(ctx, platform.Txn{
			Conditions: e.Conditions,
			Writes:     []platform.Write{{Key: e.Key, Value: e.Value}},
		})
		return CommitEnded{ErrKind: commitKind(err)}
	case ReadRow:
		row, err := table.Get(ctx, e.Key)
		if errs.Is(err, errs.NotFound) {
			return ReadBack{}
		}
		if err != nil {
			return ReadBack{ErrKind: commitKind(err)}
		}
		return ReadBack{Found: true, Value: row.Value}
	}
	return nil
}

// commitKind treats an error without a kind as an unknown outcome.
func commitKind(err error) errs.Kind {
	if err == nil {
		return ""
	}
	switch kind := errs.KindOf(err); kind {
	case errs.NotRun, errs.Conflict:
		return kind
	}
	return errs.OutcomeUnknown
}
