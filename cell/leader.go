package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// leader runs the dispatcher while this instance leads.
type leader struct {
	instance   *Instance
	log        hclog.Logger
	epoch      structs.Epoch
	dispatcher dispatcher
	inbox      chan func()
	ctx        context.Context
	cancel     context.CancelFunc
	group      conc.WaitGroup
	// clockOffset is the store's clock minus the instance's clock, or less by up to
	// the time that the claim took. A leader that was ahead of the store would assume
	// too early that the leases of the previous leader have ended.
	clockOffset structs.Timestamp
	storeClock  storeClock

	row               leadership.Row
	version           uint64 // of the leadership row
	pending           *pendingCommit
	commitSentAt      structs.Timestamp // when a copy of a commit was last sent
	commitSucceededAt structs.Timestamp // when the last commit succeeded
	confirmedAt       structs.Timestamp // at or before the time in the leadership row; see storeClock
	lastPlacementAt   structs.Timestamp
	replies           map[dispatch.CallID]chan dispatch.Reply
	ended             chan struct{} // closed once every pending request has a reply
	lastRef           dispatch.CallID
	released          bool
	broken            bool // the dispatcher panicked and must not be used any more
	storeUnavailable  bool // submissions are refused until a commit succeeds
	// lastCommitTook is how long the last commit took.
	lastCommitTook time.Duration
	releaseBy      structs.Timestamp // latest time to release the leadership; 0 until the instance stops

	peersMu sync.Mutex
	peers   map[structs.InstanceID]*member
}

const (
	leaderTickInterval = 25 * time.Millisecond
	// placementInterval limits the processor time spent on placement under load.
	placementInterval = 8 * time.Millisecond
	// slowCommitTime is several times as long as a commit from the farthest
	// region.
	slowCommitTime = 300 * time.Millisecond
	// unhealthyAfter is the age of the store's last answer at which the leader
	// tells its followers that it does not reach the store.
	unhealthyAfter = 900 * time.Millisecond
	// inboxSize is large enough for the events of a burst.
	inboxSize = 4096
)

// newLeader returns a leader that has just claimed the leadership row and has no
// dispatcher yet.
func newLeader(i *Instance, c claimedRow) *leader {
	ctx, cancel := context.WithCancel(i.ctx)
	l := &leader{
		instance: i, log: i.log.With("epoch", uint64(c.row.Epoch)), epoch: c.row.Epoch, inbox: make(chan func(), inboxSize),
		ctx: ctx, cancel: cancel, row: c.row, version: c.version,
		clockOffset: structs.Timestamp(c.storeTime) - c.receivedAt,
		replies:     map[dispatch.CallID]chan dispatch.Reply{}, ended: make(chan struct{}), peers: map[structs.InstanceID]*member{},
	}
	l.storeClock.record(c.storeTime, c.sentAt, c.receivedAt)
	l.commitSucceededAt, l.commitSentAt, l.confirmedAt = l.now(), l.now(), c.confirmedAt()
	return l
}

// lead runs the cell as its leader until the leadership is lost or released.
func (i *Instance) lead(claim leadership.Claim, c claimedRow) {
	l := newLeader(i, c)
	defer l.end()
	if !i.setLeader(l, i.options.ID, l.epoch) {
		return
	}
	recovered := false
	l.protect("recover", func() {
		if err := l.recover(claim.Previous); err != nil {
			l.log.Error("failed to load the cell", "error", err)
			return
		}
		recovered = true
	})
	if !recovered {
		return
	}
	l.spawn("follow peers", l.followPeers)
	l.spawn("follow workers", l.followWorkers)
	l.run()
}

// now returns the cell's time. It follows the store's clock as it was when this
// instance claimed the leadership, and is never ahead of it.
func (l *leader) now() structs.Timestamp { return l.instance.clock.Now() + l.clockOffset }

// storeNow returns the latest time that the store's clock may show. Followers compare
// it with the store's clock to find the age of a commit, and the next leader counts the
// leases of this one from it.
func (l *leader) storeNow() structs.Timestamp { return l.storeClock.latest(l.instance.clock.Now()) }

// recordStoreClock records the store's clock from the answer to a call.
func (l *leader) recordStoreClock(a storeAnswer) {
	l.storeClock.record(a.page.StoreTime, a.sentAt, a.receivedAt)
}

// end answers the remaining requests with Unknown, tells the other instances
// that the leadership has ended, and waits for the leader's goroutines.
func (l *leader) end() {
	l.cancel()
	if l.dispatcher != nil {
		l.protect("end", func() { l.reduce(dispatch.LeadershipEnded{}) })
	}
	for _, ch := range l.replies {
		ch <- dispatch.Reply{Verdict: dispatch.Unknown}
	}
	close(l.ended)
	l.instance.setLeader(nil, "", l.epoch)
	for _, m := range l.instanceIDs() {
		l.instance.send(m, peer.KindLeaderHeartbeat, 0, heartbeat{Epoch: l.epoch, Ended: true})
	}
	done := make(chan struct{})
	go func() { // late events need a reader until all goroutines have ended
		for {
			select {
			case <-l.inbox:
			case <-done:
				return
			}
		}
	}()
	l.group.Wait()
	close(done)

	l.log.Info("leadership ended", "released", l.released)
}

// recover loads the stored rows of the cell into the dispatcher.
func (l *leader) recover(previous leadership.Row) error {
	started := time.Now()
	rows, err := l.loadTables(dispatch.JobTable, dispatch.ProgressTable, dispatch.EndedJobTable, dispatch.CellTable)
	if err != nil {
		return err
	}
	// The dispatcher takes a gap between its decisions for a pause, and loading may take seconds.
	l.dispatcher = dispatch.New(l.instance.options.Policy, l.epoch, l.now(), l.confirmedAt)
	lastCommit := previous.CommittedAt
	if previous.Epoch == 0 {
		lastCommit = dispatch.NoPreviousLeader
	}
	if err := l.dispatcher.Recover(rows, lastCommit); err != nil {
		return err
	}
	l.log.Info("recovered", "rows", len(rows), "took", time.Since(started).String(), "previous", previous.Owner, "reason_age_ms", int64(l.now().Sub(previous.CommittedAt)/time.Millisecond))
	return nil
}

// loadTables reads tables of the cell concurrently.
func (l *leader) loadTables(tables ...string) ([]tablestore.Row, error) {
	loaded := make([][]tablestore.Row, len(tables))
	failures := make([]error, len(tables))
	var group conc.WaitGroup
	for n, table := range tables {
		group.Go(func() { loaded[n], failures[n] = l.loadTable(table) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return slices.Concat(loaded...), nil
}

const (
	loadAttempts = 8
	// loadTimeout bounds the read of one page, which has up to 1 MB.
	loadTimeout    = 3 * time.Second
	loadRetryDelay = 100 * time.Millisecond
)

// loadTable reads all rows of a table, page by page, with retries.
func (l *leader) loadTable(table string) ([]tablestore.Row, error) {
	var rows []tablestore.Row
	from, attempts := "", 0
	for {
		page, err := l.instance.store.Scan(tablestore.Range{Table: table, Part: StorePart, From: from}, loadTimeout)
		if err != nil {
			if attempts++; attempts >= loadAttempts || l.ctx.Err() != nil {
				return nil, err
			}
			sleep(l.ctx, loadRetryDelay)
			continue
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// run processes events until the context ends. Only this goroutine accesses
// the dispatcher.
func (l *leader) run() {
	ticker := time.NewTicker(leaderTickInterval)
	defer ticker.Stop()
	var heartbeatAt structs.Timestamp
	for l.ctx.Err() == nil {
		select {
		case <-l.ctx.Done():
			return
		case <-l.releaseSignal():
			if l.isReleaseDue() {
				l.protect("release", l.release)
				return
			}
		case event := <-l.inbox:
			l.protect("event", event)
		case event := <-l.instance.electionEvents:
			_ = event // no election runs while this instance leads
		case <-ticker.C:
			l.protect("tick", func() {
				l.tick()
				if now := l.now(); now.Sub(heartbeatAt) >= leadership.HeartbeatInterval {
					heartbeatAt = now
					l.sendHeartbeats()
				}
			})
		}
		l.protect("event", l.drainInbox)
		l.protect("placement", l.place)
		l.protect("commit", l.advanceCommit)
	}
}

// tick does the work that depends on time.
func (l *leader) tick() {
	l.instance.logSuspension(l.instance.clock.Adjust())
	l.reduce(dispatch.InstancesConnected{IDs: l.connectedInstances(), MaxJobMemory: l.maxJobMemory()})
	l.reduce(dispatch.Tick{WallOffset: time.Duration(time.Now().UnixNano()) - time.Duration(l.now())})
}

const (
	// maxDrainTime bounds how long the events in the inbox delay a tick, whose heartbeats
	// and renewals keep the leadership and the leases. A full inbox of large jobs takes
	// many seconds.
	maxDrainTime = 20 * time.Millisecond
	// eventsPerClockRead keeps the cost of reading the clock small.
	eventsPerClockRead = 16
)

// drainInbox processes the events that are already queued, so that one
// placement pass covers many events.
func (l *leader) drainInbox() {
	started := time.Now()
	for n := range inboxSize {
		if n%eventsPerClockRead == eventsPerClockRead-1 && time.Since(started) > maxDrainTime {
			return
		}
		select {
		case event := <-l.inbox:
			event()
		default:
			return
		}
	}
}

// place runs a placement pass, at most once per placementInterval.
func (l *leader) place() {
	now := l.now()
	if now.Sub(l.lastPlacementAt) < placementInterval {
		return
	}
	l.lastPlacementAt = now
	l.execute(l.dispatcher.PlaceTasks(now), now)
}

// reduce passes an event to the dispatcher and executes its effects.
func (l *leader) reduce(event structs.Event) {
	now := l.now()
	l.execute(l.dispatcher.Reduce(now, event), now)
}

// post passes an event to the leader's loop.
func (l *leader) post(event structs.Event) {
	select {
	case l.inbox <- func() { l.reduce(event) }:
	case <-l.ctx.Done():
	}
}

// depose ends the leadership because another instance has taken it.
func (l *leader) depose(reason string, epoch structs.Epoch) {
	if l.ctx.Err() == nil {
		l.log.Warn("deposed", "reason", reason, "by_epoch", uint64(epoch))
	}
	l.cancel()
}

// releaseSignal returns the channel that is closed when the instance stops, or
// nil while the release is postponed.
func (l *leader) releaseSignal() <-chan struct{} {
	if l.releaseBy != 0 && !l.isReleaseDue() {
		return nil
	}
	return l.instance.stepDown
}

// isReleaseDue reports whether a leader that is told to stop releases the
// leadership now. While the store is slow, a change of leader takes seconds, so
// the leader goes on for a part of its grace period.
func (l *leader) isReleaseDue() bool {
	if l.releaseBy == 0 {
		l.releaseBy = l.now().Add(l.instance.options.StopGrace - releaseMargin)
	}
	return !l.now().Before(l.releaseBy) || !l.isStoreSlow()
}

// releaseMargin is the part of the grace period that is kept for the release and
// for answers to callers.
const releaseMargin = 3 * time.Second

// isStoreSlow reports whether the last or the pending commit is slow.
func (l *leader) isStoreSlow() bool {
	return l.lastCommitTook > slowCommitTime || (l.pending != nil && l.now().Sub(l.pending.createdAt) > slowCommitTime)
}

// release completes the pending commit and then writes a leadership row that
// has no owner and names a successor, which can claim the leadership at once.
func (l *leader) release() {
	const releaseTimeout = 1500 * time.Millisecond
	deadline := l.now().Add(releaseTimeout)
	for l.pending != nil && l.now().Before(deadline) && l.ctx.Err() == nil {
		select {
		case event := <-l.inbox:
			event()
		case <-time.After(leaderTickInterval):
			l.advanceCommit()
		}
	}
	if l.pending != nil || l.ctx.Err() != nil {
		return
	}
	row := l.row
	row.Owner, row.CommittedAt = "", l.storeNow()
	row.Successor = chooseSuccessor(l.followers(), time.Duration(l.instance.clock.Now()))
	value, err := cbor.Marshal(row)
	if err != nil {
		l.log.Error("failed to encode the leadership row", "error", err)
		return
	}
	_, err = l.instance.store.Commit(tablestore.Tx{
		Part:       StorePart,
		Conditions: l.leadershipCondition(),
		Puts:       []tablestore.Put{{Table: dispatch.CellTable, Key: leadershipKey, Value: value}},
	}, releaseTimeout)
	l.released = err == nil
	l.log.Info("release", "successor", row.Successor, "error", errorText(err))
}

// workerFeedInterval lets one feed call return many heartbeats of workers.
const workerFeedInterval = 400 * time.Millisecond

// followWorkers passes changes in the directory of workers to the dispatcher.
func (l *leader) followWorkers() {
	known := map[structs.WorkerID]bool{}
	f := feed{instance: l.instance, table: l.instance.options.PlatformNames.WorkerTable, interval: workerFeedInterval}
	f.onRow = func(row tablestore.Row) {
		id := structs.WorkerID(row.Key)
		if row.Deleted {
			delete(known, id)
			l.post(dispatch.WorkerUnlisted{ID: id})
			return
		}
		w, err := l.instance.options.Codec.DecodeWorker(row)
		if err != nil {
			l.instance.metrics.count("directory_entries_dropped", "reason", "malformed")
			return
		}
		known[id] = true
		l.post(dispatch.WorkerListed{Worker: w})
	}
	f.onListed = func(keys map[string]bool) {
		for id := range known {
			if !keys[string(id)] {
				delete(known, id)
				l.post(dispatch.WorkerUnlisted{ID: id})
			}
		}
	}
	f.run(l.ctx)
}
