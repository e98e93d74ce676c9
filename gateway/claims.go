package gateway

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/url"
	"sync"
	"time"

	concpool "github.com/sourcegraph/conc/pool"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// Settings of the claims' group commit. 50 ms between commits bound the
// writes of an instance to 20 per second; a first claim is written at once.
const (
	commitInterval = 50 * time.Millisecond
	commitTimeout  = 2 * time.Second
	maxCommitBatch = 256
	readParallel   = 8
	// maxQueuedOutcomes bounds the outcomes that wait while the table is
	// down. A repeat of a request whose outcome was dropped gets
	// outcome-unknown.
	maxQueuedOutcomes = 4096
)

// claimsPrefix starts the keys of all claims.
const claimsPrefix = "claims/"

func claimKey(team structs.TeamID, id string) string {
	return claimsPrefix + url.PathEscape(string(team)) + "/" + url.PathEscape(id)
}

// claimRow is the row of a claim. Rows are never deleted before Expires, so
// the versions of a row grow and a delayed commit cannot meet a newer row
// with its own version.
type claimRow struct {
	Holder   structs.InstanceID   `json:"holder"`
	Token    string               `json:"token"` // tells this claim from every other one
	Released bool                 `json:"released,omitempty"`
	Stored   *router.StoredAnswer `json:"stored,omitempty"`
	Expires  structs.Timestamp    `json:"expires"`
}

func (r claimRow) encode() []byte {
	value, _ := json.Marshal(r)
	return value
}

type opKind int

const (
	opClaim opKind = iota + 1
	opStore
	opRelease
)

// claimOp is a write of one row.
type claimOp struct {
	kind      opKind
	ref       router.Ref
	key       string
	row       claimRow
	version   uint64 // that the row must have
	deadline  structs.Timestamp
	uncertain bool // an earlier commit may have written it
	done      bool // the router got its answer
}

// claimWriter writes claims and outcomes in groups.
type claimWriter struct {
	table  provider.Table
	opts   Options
	ended  func(*router.ClaimEnded)
	signal chan struct{}

	mu       sync.Mutex
	queue    []*claimOp
	inFlight []*claimOp
	held     map[string]heldClaim // by key
	outcomes int                  // in queue
	cursor   string               // of the sweep
}

type heldClaim struct {
	token   string
	version uint64
	expires structs.Timestamp
}

func newClaimWriter(opts Options, ended func(*router.ClaimEnded)) *claimWriter {
	return &claimWriter{
		table: opts.Table, opts: opts, ended: ended,
		signal: make(chan struct{}, 1),
		held:   map[string]heldClaim{},
	}
}

// claim queues a claim. The router's lock is held, so the answer comes later.
func (w *claimWriter) claim(e router.WriteClaim) {
	expires := w.opts.Now().Add(w.opts.Retention)
	w.push(&claimOp{
		kind: opClaim, ref: e.Ref, key: claimKey(e.Team, e.ID), deadline: e.Deadline,
		row: claimRow{Holder: w.opts.Instance, Token: rand.Text(), Expires: expires},
	})
}

// store queues the outcome of a claimed request.
func (w *claimWriter) store(e router.StoreOutcome) {
	stored := e.Stored
	w.pushSettled(claimKey(e.Team, e.ID), opStore, func(row *claimRow) { row.Stored = &stored })
}

// release queues the release of a claim whose request was never sent.
func (w *claimWriter) release(e router.ReleaseClaim) {
	w.pushSettled(claimKey(e.Team, e.ID), opRelease, func(row *claimRow) { row.Released = true })
}

func (w *claimWriter) pushSettled(key string, kind opKind, change func(*claimRow)) {
	w.mu.Lock()
	claim, ok := w.held[key]
	delete(w.held, key)
	full := w.outcomes >= maxQueuedOutcomes
	w.mu.Unlock()
	if !ok || full {
		return
	}
	row := claimRow{Holder: w.opts.Instance, Token: claim.token, Expires: claim.expires}
	change(&row)
	w.push(&claimOp{kind: kind, key: key, row: row, version: claim.version})
}

func (w *claimWriter) push(op *claimOp) {
	w.mu.Lock()
	w.queue = append(w.queue, op)
	if op.kind != opClaim {
		w.outcomes++
	}
	w.mu.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// lastFlushes bounds the commits after the stop.
const lastFlushes = 16

// run commits what is queued until stop closes, then writes what is left if
// the table takes it.
func (w *claimWriter) run(stop <-chan struct{}) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-stop:
			for i := 0; i < lastFlushes && w.pending(); i++ {
				w.flush()
			}
			return
		case <-w.signal:
		}
		select {
		case <-stop:
		case <-pause.C:
		}
		pause.Reset(commitInterval)
		w.flush()
	}
}

func (w *claimWriter) pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// flush commits one group.
func (w *claimWriter) flush() {
	batch := w.take()
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	result, err := w.commit(ctx, batch)
	switch {
	case err == nil:
		for _, op := range batch {
			w.succeeded(op, result.Versions[op.key])
		}
	case errs.Is(err, errs.NotRun):
		w.notWritten(batch)
	case errs.Is(err, errs.Conflict):
		w.readBack(batch, false)
	default:
		w.readBack(batch, true)
	}
	w.mu.Lock()
	w.inFlight = nil
	w.mu.Unlock()
}

func (w *claimWriter) commit(ctx context.Context, batch []*claimOp) (provider.TxnResult, error) {
	if w.table == nil {
		return provider.TxnResult{}, errs.New(errs.NotRun, "configure a table", "this instance has no table for claims")
	}
	return w.table.Commit(ctx, transaction(batch))
}

// take moves a group out of the queue. Two writes of one row never share a
// group.
func (w *claimWriter) take() []*claimOp {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch, rest []*claimOp
	keys := map[string]bool{}
	for _, op := range w.queue {
		switch {
		case op.done:
		case len(batch) < maxCommitBatch && !keys[op.key]:
			keys[op.key] = true
			batch = append(batch, op)
		default:
			rest = append(rest, op)
		}
	}
	w.queue = rest
	w.inFlight = batch
	w.outcomes = 0
	for _, op := range rest {
		if op.kind != opClaim {
			w.outcomes++
		}
	}
	if len(rest) > 0 {
		w.wake()
	}
	return batch
}

func (w *claimWriter) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

func transaction(batch []*claimOp) provider.Txn {
	var txn provider.Txn
	for _, op := range batch {
		txn.Conditions = append(txn.Conditions, provider.Condition{Key: op.key, Version: op.version})
		txn.Writes = append(txn.Writes, provider.Write{Key: op.key, Value: op.row.encode()})
	}
	return txn
}

// succeeded settles a write that is durable with the given version.
func (w *claimWriter) succeeded(op *claimOp, version uint64) {
	if op.kind != opClaim {
		return
	}
	w.mu.Lock()
	w.held[op.key] = heldClaim{op.row.Token, version, op.row.Expires}
	w.mu.Unlock()
	if !w.answer(op, router.ClaimHeld, router.StoredAnswer{}) {
		// The request ended at its deadline with an unknown outcome.
		w.mu.Lock()
		delete(w.held, op.key)
		w.mu.Unlock()
	}
}

// answer tells the router how a claim ended, once.
func (w *claimWriter) answer(op *claimOp, result router.ClaimResult, stored router.StoredAnswer) bool {
	w.mu.Lock()
	first := !op.done
	op.done = true
	w.mu.Unlock()
	if first {
		w.ended(&router.ClaimEnded{Ref: op.ref, Result: result, Stored: stored})
	}
	return first
}

// notWritten handles a group that was certainly not written.
func (w *claimWriter) notWritten(batch []*claimOp) {
	for _, op := range batch {
		if op.kind == opClaim && !op.uncertain {
			w.answer(op, router.ClaimNotWritten, router.StoredAnswer{})
			continue
		}
		w.again(op)
	}
}

func (w *claimWriter) again(op *claimOp) {
	w.mu.Lock()
	done := op.done
	w.mu.Unlock()
	if !done {
		w.push(op)
	}
}

// readBack reads every row of a group that met a conflict or whose reply was
// lost.
func (w *claimWriter) readBack(batch []*claimOp, uncertain bool) {
	workers := concpool.New().WithMaxGoroutines(readParallel)
	for _, op := range batch {
		w.mu.Lock()
		op.uncertain = op.uncertain || uncertain
		w.mu.Unlock()
		workers.Go(func() { w.readBackOne(op) })
	}
	workers.Wait()
}

func (w *claimWriter) readBackOne(op *claimOp) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	stored, err := w.table.Get(ctx, op.key)
	if errs.Is(err, errs.NotFound) {
		op.version = 0
		w.retryOrDrop(op)
		return
	}
	if err != nil {
		w.again(op)
		return
	}
	var row claimRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		w.answer(op, router.ClaimUnknown, router.StoredAnswer{})
		return
	}
	w.compare(op, row, stored.Version)
}

// retryOrDrop queues a write whose row is absent. An outcome without a claim
// is dropped: the claim's retention has ended.
func (w *claimWriter) retryOrDrop(op *claimOp) {
	if op.kind == opClaim {
		w.again(op)
	}
}

// compare settles a write by the row that the table holds.
func (w *claimWriter) compare(op *claimOp, row claimRow, version uint64) {
	own := row.Token == op.row.Token
	switch {
	case op.kind != opClaim && own && version == op.version:
		w.again(op) // not written yet
	case op.kind != opClaim: // written, or superseded
	case own:
		w.succeeded(op, version)
	case row.Released:
		op.version = version
		w.again(op)
	case row.Stored != nil:
		w.answer(op, router.ClaimRepeated, *row.Stored)
	default:
		w.answer(op, router.ClaimRepeated, router.StoredAnswer{})
	}
}

// expire answers claims whose deadline passed while they were queued or on
// their way.
func (w *claimWriter) expire(now structs.Timestamp) {
	w.mu.Lock()
	var late []*claimOp
	var results []router.ClaimResult
	for _, op := range w.queue {
		if op.kind == opClaim && !op.done && now >= op.deadline {
			result := router.ClaimNotWritten
			if op.uncertain {
				result = router.ClaimUnknown
			}
			late, results = append(late, op), append(results, result)
		}
	}
	for _, op := range w.inFlight {
		if op.kind == opClaim && !op.done && now >= op.deadline {
			late, results = append(late, op), append(results, router.ClaimUnknown)
		}
	}
	w.mu.Unlock()
	for i, op := range late {
		w.answer(op, results[i], router.StoredAnswer{})
	}
}
