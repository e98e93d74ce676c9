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

// Parameters of the group commit of claims. An interval of 50 ms limits an
// instance to 20 commits per second. A claim that follows a longer pause is
// committed at once.
const (
	commitInterval   = 50 * time.Millisecond
	commitTimeout    = 2 * time.Second
	maxCommitBatch   = 256
	maxParallelReads = 8
	// maxQueuedUpdates limits the number of queued outcomes and releases
	// while the table is unavailable; more are dropped. A repeat of a request
	// whose outcome was dropped gets outcome-unknown.
	maxQueuedUpdates = 4096
)

// maxQueuedBodyBytes limits the bodies of queued outcomes while the table is unavailable. A
// repeat of a request whose body was dropped gets the status only.
const maxQueuedBodyBytes = 16 << 20

// claimsPrefix is the prefix of the keys of all claims.
const claimsPrefix = "claims/"

func claimKey(team structs.TeamID, id string) string {
	return claimsPrefix + url.PathEscape(string(team)) + "/" + url.PathEscape(id)
}

// claimRow is the row of a claim. A row is never deleted before Expires, so its
// version only grows until then, and a delayed commit cannot find a newer row
// with the version that it expects.
type claimRow struct {
	Holder   structs.InstanceID     `json:"holder"`
	Token    string                 `json:"token"` // unique for each claim
	Released bool                   `json:"released,omitempty"`
	Stored   *router.StoredResponse `json:"stored,omitempty"`
	Expires  structs.Timestamp      `json:"expires"`
}

func (r claimRow) encode() []byte {
	value, _ := json.Marshal(r)
	return value
}

type opKind int

const (
	opClaim opKind = iota + 1
	opStoreOutcome
	opRelease
)

// claimOp is a queued write of one claim row.
type claimOp struct {
	kind         opKind
	ref          router.Ref
	key          string
	row          claimRow
	version      uint64 // version that the row must have for the write to succeed
	deadline     structs.Timestamp
	maybeWritten bool // an earlier commit may have written the row
	reported     bool // the result was reported to the router
}

// bodyBytes returns the size of the stored body.
func (o *claimOp) bodyBytes() int {
	if o.row.Stored == nil {
		return 0
	}
	return len(o.row.Stored.Body)
}

// claimWriter writes claims, outcomes and releases in group commits.
type claimWriter struct {
	table        provider.Table
	opts         Options
	onClaimEnded func(*router.ClaimEnded)
	wakeup       chan struct{}

	mu            sync.Mutex
	queue         []*claimOp
	inFlight      []*claimOp
	held          map[string]heldClaim // claims of running requests, by key
	queuedUpdates int                  // outcomes and releases in queue
	queuedBytes   int                  // of the bodies of the outcomes in queue
	sweepCursor   string               // last key of the previous page of the sweep
}

// heldClaim is a durable claim of this instance that has no outcome yet.
type heldClaim struct {
	token   string
	version uint64
	expires structs.Timestamp
}

func newClaimWriter(opts Options, onClaimEnded func(*router.ClaimEnded)) *claimWriter {
	return &claimWriter{
		table: opts.Table, opts: opts, onClaimEnded: onClaimEnded,
		wakeup: make(chan struct{}, 1),
		held:   map[string]heldClaim{},
	}
}

// queueClaim queues a claim. The result is reported later because the
// gateway's lock is held.
func (w *claimWriter) queueClaim(e router.WriteClaim) {
	expires := w.opts.Now().Add(w.opts.Retention)
	w.enqueue(&claimOp{
		kind: opClaim, ref: e.Ref, key: claimKey(e.Team, e.ID), deadline: e.Deadline,
		row: claimRow{Holder: w.opts.Instance, Token: rand.Text(), Expires: expires},
	})
}

// queueOutcome queues the outcome of a claimed request.
func (w *claimWriter) queueOutcome(e router.StoreOutcome) {
	stored := e.Stored
	w.queueUpdate(claimKey(e.Team, e.ID), opStoreOutcome, func(row *claimRow) { row.Stored = &stored })
}

// queueRelease queues the release of a claim whose request was never sent.
func (w *claimWriter) queueRelease(e router.ReleaseClaim) {
	w.queueUpdate(claimKey(e.Team, e.ID), opRelease, func(row *claimRow) { row.Released = true })
}

func (w *claimWriter) queueUpdate(key string, kind opKind, change func(*claimRow)) {
	w.mu.Lock()
	claim, ok := w.held[key]
	delete(w.held, key)
	full := w.queuedUpdates >= maxQueuedUpdates
	bodiesFull := w.queuedBytes >= maxQueuedBodyBytes
	w.mu.Unlock()
	if !ok || full {
		return
	}
	row := claimRow{Holder: w.opts.Instance, Token: claim.token, Expires: claim.expires}
	change(&row)
	if bodiesFull && row.Stored != nil {
		row.Stored.Truncated, row.Stored.Body = true, nil
	}
	w.enqueue(&claimOp{kind: kind, key: key, row: row, version: claim.version})
}

func (w *claimWriter) enqueue(op *claimOp) {
	w.mu.Lock()
	w.queue = append(w.queue, op)
	if op.kind != opClaim {
		w.queuedUpdates++
		w.queuedBytes += op.bodyBytes()
	}
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// maxFinalFlushes limits the number of commits after run was told to stop.
const maxFinalFlushes = 16

// run commits queued writes until stop is closed. It then makes up to
// maxFinalFlushes commits to write what is left in the queue.
func (w *claimWriter) run(stop <-chan struct{}) {
	interval := time.NewTimer(0)
	defer interval.Stop()
	for {
		select {
		case <-stop:
			for i := 0; i < maxFinalFlushes && w.hasQueued(); i++ {
				w.flush()
			}
			return
		case <-w.wakeup:
		}
		select {
		case <-stop:
		case <-interval.C:
		}
		interval.Reset(commitInterval)
		w.flush()
	}
}

func (w *claimWriter) hasQueued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// flush commits one batch.
func (w *claimWriter) flush() {
	batch := w.takeBatch()
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	result, err := w.commit(ctx, batch)
	switch {
	case err == nil:
		for _, op := range batch {
			w.handleCommitted(op, result.Versions[op.key])
		}
	case errs.Is(err, errs.NotRun):
		w.handleNotWritten(batch)
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

// takeBatch removes a batch from the queue. A batch never has two writes of the
// same row.
func (w *claimWriter) takeBatch() []*claimOp {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch, rest []*claimOp
	keys := map[string]bool{}
	for _, op := range w.queue {
		switch {
		case op.reported:
		case len(batch) < maxCommitBatch && !keys[op.key]:
			keys[op.key] = true
			batch = append(batch, op)
		default:
			rest = append(rest, op)
		}
	}
	w.queue = rest
	w.inFlight = batch
	w.queuedUpdates, w.queuedBytes = 0, 0
	for _, op := range rest {
		if op.kind != opClaim {
			w.queuedUpdates++
			w.queuedBytes += op.bodyBytes()
		}
	}
	if len(rest) > 0 {
		w.wake()
	}
	return batch
}

func (w *claimWriter) wake() {
	select {
	case w.wakeup <- struct{}{}:
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

// handleCommitted handles a write that is durable with the given version.
func (w *claimWriter) handleCommitted(op *claimOp, version uint64) {
	if op.kind != opClaim {
		return
	}
	w.mu.Lock()
	w.held[op.key] = heldClaim{op.row.Token, version, op.row.Expires}
	w.mu.Unlock()
	if !w.report(op, router.ClaimHeld, router.StoredResponse{}) {
		// The request already ended at its deadline with an unknown outcome.
		w.mu.Lock()
		delete(w.held, op.key)
		w.mu.Unlock()
	}
}

// report reports the result of a claim to the router unless that was done
// before. It returns whether it reported the result.
func (w *claimWriter) report(op *claimOp, result router.ClaimResult, stored router.StoredResponse) bool {
	w.mu.Lock()
	first := !op.reported
	op.reported = true
	w.mu.Unlock()
	if first {
		w.onClaimEnded(&router.ClaimEnded{Ref: op.ref, Result: result, Stored: stored})
	}
	return first
}

// handleNotWritten handles a batch that was certainly not written.
func (w *claimWriter) handleNotWritten(batch []*claimOp) {
	for _, op := range batch {
		if op.kind == opClaim && !op.maybeWritten {
			w.report(op, router.ClaimNotWritten, router.StoredResponse{})
			continue
		}
		w.requeue(op)
	}
}

func (w *claimWriter) requeue(op *claimOp) {
	w.mu.Lock()
	reported := op.reported
	w.mu.Unlock()
	if !reported {
		w.enqueue(op)
	}
}

// readBack reads every row of a batch whose commit failed with a conflict or
// whose reply was lost.
func (w *claimWriter) readBack(batch []*claimOp, maybeWritten bool) {
	readers := concpool.New().WithMaxGoroutines(maxParallelReads)
	for _, op := range batch {
		w.mu.Lock()
		op.maybeWritten = op.maybeWritten || maybeWritten
		w.mu.Unlock()
		readers.Go(func() { w.readBackOne(op) })
	}
	readers.Wait()
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
		w.requeue(op)
		return
	}
	var row claimRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		w.report(op, router.ClaimUnknown, router.StoredResponse{})
		return
	}
	w.resolve(op, row, stored.Version)
}

// retryOrDrop handles a write whose row does not exist. A claim is queued again.
// An outcome or release is dropped because the claim's retention has ended.
func (w *claimWriter) retryOrDrop(op *claimOp) {
	if op.kind == opClaim {
		w.requeue(op)
	}
}

// resolve decides the result of a write by the row that the table holds.
func (w *claimWriter) resolve(op *claimOp, row claimRow, version uint64) {
	own := row.Token == op.row.Token
	switch {
	case op.kind != opClaim && own && version == op.version:
		w.requeue(op) // not written yet
	case op.kind != opClaim: // written, or replaced by a later write
	case own:
		w.handleCommitted(op, version)
	case row.Released:
		op.version = version
		w.requeue(op)
	case row.Stored != nil:
		w.report(op, router.ClaimRepeated, *row.Stored)
	default:
		w.report(op, router.ClaimRepeated, router.StoredResponse{})
	}
}

// expireClaims reports a result for claims whose deadlines passed while they
// were queued or in a commit.
func (w *claimWriter) expireClaims(now structs.Timestamp) {
	w.mu.Lock()
	var expired []*claimOp
	var results []router.ClaimResult
	for _, op := range w.queue {
		if op.kind == opClaim && !op.reported && now >= op.deadline {
			result := router.ClaimNotWritten
			if op.maybeWritten {
				result = router.ClaimUnknown
			}
			expired, results = append(expired, op), append(results, result)
		}
	}
	for _, op := range w.inFlight {
		if op.kind == opClaim && !op.reported && now >= op.deadline {
			expired, results = append(expired, op), append(results, router.ClaimUnknown)
		}
	}
	w.mu.Unlock()
	for i, op := range expired {
		w.report(op, results[i], router.StoredResponse{})
	}
}
