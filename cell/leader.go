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
	instance *Instance
	log      hclog.Logger
	epoch    structs.Epoch
	cell     *dispatch.Dispatcher
	inbox    chan func()
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	offset   structs.Timestamp // the store's clock less the instance's

	storeClock   structs.Timestamp // of the store's last answer
	storeClockAt structs.Timestamp // on the instance's clock

	row       leadership.Row
	version   uint64 // of the leadership row
	pending   *pendingCommit
	idleSince structs.Timestamp // the last commit was sent
	okSince   structs.Timestamp // the last commit succeeded
	placedAt  structs.Timestamp
	replies   map[dispatch.CallID]chan dispatch.Reply
	ended     chan struct{} // closed once all replies have been given
	nextRef   dispatch.CallID
	released  bool
	away      bool // commits do not succeed
	// lastCommitTook is how long the last commit took.
	lastCommitTook time.Duration
	stopBy         structs.Timestamp // release at the latest, once the instance stops

	peersMu sync.Mutex
	peers   map[structs.InstanceID]*member
}

const (
	leaderTick = 25 * time.Millisecond
	// heartbeatEvery leaves two heartbeats that may be lost before followers
	// suspect the leader.
	heartbeatEvery = 250 * time.Millisecond
	// placeEvery bounds the processor time of placement under load.
	placeEvery = 8 * time.Millisecond
	// slowCommit is several times what a commit takes from the far region.
	slowCommit = 300 * time.Millisecond
	// unhealthyAfter is the age of the store's last answer at which the leader tells
	// its followers that it does not reach the store.
	unhealthyAfter = 900 * time.Millisecond
	// inboxSize absorbs the events of a burst.
	inboxSize = 4096
)

// lead runs until the leadership is lost or given up.
func (i *Instance) lead(claim leadership.Claim, c claimed) {
	ctx, cancel := context.WithCancel(i.ctx)
	l := &leader{
		instance: i, log: i.log.With("epoch", uint64(c.row.Epoch)), epoch: c.row.Epoch, inbox: make(chan func(), inboxSize),
		ctx: ctx, cancel: cancel, row: c.row, version: c.version,
		offset: structs.Timestamp(c.store) - c.at, storeClock: structs.Timestamp(c.store), storeClockAt: c.at,
		replies: map[dispatch.CallID]chan dispatch.Reply{}, ended: make(chan struct{}), peers: map[structs.InstanceID]*member{},
	}
	l.okSince, l.idleSince = l.now(), l.now()
	defer l.end()
	if !i.setLeader(l, i.options.ID, l.epoch) {
		return
	}
	l.cell = dispatch.New(i.options.Policy, l.epoch, l.now(), c.row.CommittedAt)
	if err := l.recover(claim.Previous); err != nil {
		l.log.Error("the cell could not be loaded", "error", err)
		return
	}
	l.group.Go(l.followPeers)
	l.group.Go(l.followWorkers)
	l.run()
}

// now returns the cell's time: the store's clock as seen at the claim.
func (l *leader) now() structs.Timestamp { return l.instance.clock.Now() + l.offset }

// storeNow returns the store's clock by its last answer, which followers
// compare with the store's clock when they judge the age of a commit.
func (l *leader) storeNow() structs.Timestamp {
	return l.storeClock + l.instance.clock.Now() - l.storeClockAt
}

func (l *leader) noteStoreClock(page tablestore.Page) {
	l.storeClock, l.storeClockAt = structs.Timestamp(page.StoreTime), l.instance.clock.Now()
}

// end answers what is left as unknown and becomes a follower.
func (l *leader) end() {
	l.cancel()
	if l.cell != nil {
		l.reduce(dispatch.LeadershipEnded{})
	}
	for _, ch := range l.replies {
		ch <- dispatch.Reply{Verdict: dispatch.Unknown}
	}
	close(l.ended)
	l.instance.setLeader(nil, "", l.epoch)
	for _, m := range l.members() {
		l.instance.send(m, peer.KindLeaderHeartbeat, 0, heartbeat{Epoch: l.epoch, Ended: true})
	}
	done := make(chan struct{})
	go func() { // answers that arrive late find a reader until all are in
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

// recover loads the rows of the cell.
func (l *leader) recover(previous leadership.Row) error {
	started := time.Now()
	rows, err := l.loadTables(dispatch.JobTable, dispatch.ProgressTable, dispatch.EndedJobTable, dispatch.CellTable)
	if err != nil {
		return err
	}
	lastCommit := previous.CommittedAt
	if previous.Epoch == 0 {
		lastCommit = dispatch.NoPreviousLeader
	}
	if err := l.cell.Recover(rows, lastCommit); err != nil {
		return err
	}
	l.log.Info("recovered", "rows", len(rows), "took", time.Since(started).String(), "previous", previous.Owner, "reason_age_ms", int64(l.now().Sub(previous.CommittedAt)/time.Millisecond))
	return nil
}

// loadTables reads tables of the cell side by side.
func (l *leader) loadTables(tables ...string) ([]tablestore.Row, error) {
	loaded := make([][]tablestore.Row, len(tables))
	failures := make([]error, len(tables))
	var group conc.WaitGroup
	for n, table := range tables {
		group.Go(func() { loaded[n], failures[n] = l.load(table) })
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
	// loadTimeout bounds the read of one page of 1 MB.
	loadTimeout = 3 * time.Second
	loadRetry   = 100 * time.Millisecond
)

func (l *leader) load(table string) ([]tablestore.Row, error) {
	var rows []tablestore.Row
	from, attempts := "", 0
	for {
		page, err := l.instance.store.Scan(tablestore.Range{Table: table, Part: Part, From: from}, loadTimeout)
		if err != nil {
			if attempts++; attempts >= loadAttempts || l.ctx.Err() != nil {
				return nil, err
			}
			sleep(l.ctx, loadRetry)
			continue
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// run processes events until the context ends. Only this goroutine touches
// the cell.
func (l *leader) run() {
	ticker := time.NewTicker(leaderTick)
	defer ticker.Stop()
	var beatAt structs.Timestamp
	for l.ctx.Err() == nil {
		select {
		case <-l.ctx.Done():
			return
		case <-l.releaseSignal():
			if l.isReleaseDue() {
				l.release()
				return
			}
		case event := <-l.inbox:
			event()
		case event := <-l.instance.follower:
			_ = event // the election rests while this instance leads
		case <-ticker.C:
			l.instance.noteSuspension(l.instance.clock.Adjust())
			l.reduce(dispatch.InstancesConnected{IDs: l.connected()})
			l.reduce(dispatch.Tick{WallOffset: time.Duration(time.Now().UnixNano()) - time.Duration(l.now())})
			if now := l.now(); now.Sub(beatAt) >= heartbeatEvery {
				beatAt = now
				l.beat()
			}
		}
		l.drainInbox()
		l.place()
		l.commit()
	}
}

// drainInbox processes what has arrived already, so that one placement pass
// serves many events.
func (l *leader) drainInbox() {
	for range inboxSize {
		select {
		case event := <-l.inbox:
			event()
		default:
			return
		}
	}
}

func (l *leader) place() {
	now := l.now()
	if now.Sub(l.placedAt) < placeEvery {
		return
	}
	l.placedAt = now
	l.execute(l.cell.PlaceTasks(now))
}

func (l *leader) reduce(event structs.Event) { l.execute(l.cell.Reduce(l.now(), event)) }

// post passes an event to the loop.
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

// releaseSignal returns the channel that tells the instance to stop, or nil while
// the release waits.
func (l *leader) releaseSignal() <-chan struct{} {
	if l.stopBy != 0 && !l.isReleaseDue() {
		return nil
	}
	return l.instance.stepAway
}

// isReleaseDue reports whether a leader that is to stop gives the leadership
// up now. While the store is slow a change of leader takes seconds, so it goes
// on for a part of its grace time.
func (l *leader) isReleaseDue() bool {
	if l.stopBy == 0 {
		l.stopBy = l.now().Add(l.instance.options.StopGrace - releaseReserve)
	}
	return !l.now().Before(l.stopBy) || !l.isStoreSlow()
}

// releaseReserve is left of the grace time for the release and for the answers
// to callers.
const releaseReserve = 3 * time.Second

func (l *leader) isStoreSlow() bool {
	return l.lastCommitTook > slowCommit || (l.pending != nil && l.now().Sub(l.pending.madeAt) > slowCommit)
}

// release gives the leadership up to a follower, so that it can claim it at
// once.
func (l *leader) release() {
	const releaseTimeout = 1500 * time.Millisecond
	deadline := l.now().Add(releaseTimeout)
	for l.pending != nil && l.now().Before(deadline) && l.ctx.Err() == nil {
		select {
		case event := <-l.inbox:
			event()
		case <-time.After(leaderTick):
			l.commit()
		}
	}
	if l.pending != nil || l.ctx.Err() != nil {
		return
	}
	row := l.row
	row.Owner, row.CommittedAt = "", l.storeNow()
	if followers := byStrength(l.followers()); len(followers) > 0 {
		row.Successor = followers[0].id
	}
	value, err := cbor.Marshal(row)
	if err != nil {
		l.log.Error("the leader row could not be encoded", "error", err)
		return
	}
	_, err = l.instance.store.Commit(tablestore.Tx{
		Part:       Part,
		Conditions: l.condition(),
		Puts:       []tablestore.Put{{Table: dispatch.CellTable, Key: leaderKey, Value: value}},
	}, releaseTimeout)
	l.released = err == nil
	l.log.Info("release", "successor", row.Successor, "error", errText(err))
}

// workerFeedPause lets many heartbeats of workers share one call of the feed.
const workerFeedPause = 400 * time.Millisecond

// followWorkers follows the directory of workers.
func (l *leader) followWorkers() {
	known := map[structs.WorkerID]bool{}
	f := feed{instance: l.instance, table: l.instance.options.Names.WorkerTable, pause: workerFeedPause}
	f.apply = func(row tablestore.Row) {
		id := structs.WorkerID(row.Key)
		if row.Deleted {
			delete(known, id)
			l.post(dispatch.WorkerUnlisted{ID: id})
			return
		}
		w, err := l.instance.options.Formats.Worker(row)
		if err != nil {
			l.instance.metrics.count("directory_entries_dropped", "reason", "malformed")
			return
		}
		known[id] = true
		l.post(dispatch.WorkerListed{Worker: w})
	}
	f.listed = func(keys map[string]bool) {
		for id := range known {
			if !keys[string(id)] {
				delete(known, id)
				l.post(dispatch.WorkerUnlisted{ID: id})
			}
		}
		l.post(dispatch.DirectoryListed{})
	}
	f.run(l.ctx)
}
