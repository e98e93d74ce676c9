package cell

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"github.com/mangodrum/mangodrum/dispatch"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/leadership"
	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// leader runs the dispatcher while this instance leads.
type leader struct {
	instance *Instance
	log      hclog.Logger
	epoch    structs.Epoch
	cell     *dispatch.Cell
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
	replies   map[dispatch.Ref]chan dispatch.Reply
	nextRef   dispatch.Ref
	released  bool
	away      bool // commits do not succeed

	peersMu sync.Mutex
	peers   map[structs.InstanceID]*member
}

// member is another instance as the leader knows it.
type member struct {
	address  string
	share    float64 // of a processor, in cores
	heardAt  structs.Timestamp
	config   uint64            // version that it has
	behindAt structs.Timestamp // since when that is not the newest
	helpedAt structs.Timestamp // it was last sent the newest
}

type pendingCommit struct {
	commit   dispatch.Commit
	tx       tablestore.Tx
	row      leadership.Row
	timeout  time.Duration
	retryAt  structs.Timestamp
	sending  bool
	failures int // tries without a usable answer
	madeAt   structs.Timestamp
}

const (
	leaderTick = 25 * time.Millisecond
	// heartbeatEvery leaves two heartbeats that may be lost before followers
	// suspect the leader.
	heartbeatEvery = 250 * time.Millisecond
	// placeEvery bounds the processor time of placement under load.
	placeEvery = 8 * time.Millisecond
	// firstCommitTimeout bounds the first try of a commit; each further try
	// waits longer, as the store may be slow.
	firstCommitTimeout = 500 * time.Millisecond
	// maxCommitTimeout is above what a commit takes while the store is 60 times
	// as slow as usual. The store's return shows only after it.
	maxCommitTimeout = 1200 * time.Millisecond
	commitRetry      = 100 * time.Millisecond
	maxCommitRetry   = 250 * time.Millisecond
	// awayAfter is longer than a commit takes while the store is 60 times as
	// slow as usual.
	awayAfter = 1200 * time.Millisecond
	// slowCommit is several times what a commit takes from the far region.
	slowCommit = 300 * time.Millisecond
	// failuresUntilAway tells one lost answer from a store that is away.
	failuresUntilAway = 2
	// unhealthyAfter is the age of the last commit at which the leader tells
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
		replies: map[dispatch.Ref]chan dispatch.Reply{}, peers: map[structs.InstanceID]*member{},
	}
	l.okSince, l.idleSince = l.now(), l.now()
	defer l.end()
	if !i.setLeader(l, i.options.ID, l.epoch) {
		return
	}
	l.cell = dispatch.New(i.options.Policy, l.epoch, l.now())
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
	l.instance.setLeader(nil, "", l.epoch)
	for _, m := range l.members() {
		l.instance.send(m, peer.KindLeader, 0, heartbeat{Epoch: l.epoch, Ended: true})
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
	for _, ch := range l.replies {
		ch <- dispatch.Reply{Verdict: dispatch.Unknown}
	}
	l.log.Info("leadership ended", "released", l.released)
}

// recover loads the rows of the cell.
func (l *leader) recover(previous leadership.Row) error {
	started := time.Now()
	var rows []tablestore.Row
	for _, table := range []string{dispatch.JobTable, dispatch.ProgressTable, dispatch.CellTable} {
		loaded, err := l.load(table)
		if err != nil {
			return err
		}
		rows = append(rows, loaded...)
	}
	lastCommit := previous.At
	if previous.Epoch == 0 {
		lastCommit = dispatch.NoPreviousLeader
	}
	if err := l.cell.Recover(rows, lastCommit); err != nil {
		return err
	}
	l.log.Info("recovered", "rows", len(rows), "took", time.Since(started).String(), "previous", previous.Owner, "reason_age_ms", int64(l.now().Sub(previous.At)/time.Millisecond))
	return nil
}

const (
	loadAttempts = 8
	// loadTimeout bounds the read of one page of 1 MB.
	loadTimeout = 3 * time.Second
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
			sleep(l.ctx, commitRetry)
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
		case <-l.instance.stepAway:
			l.release()
			return
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
	if table := l.instance.config.table.Load(); table != nil {
		l.cell.Guard(table.Guarded)
	}
	l.execute(l.cell.Place(now))
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

// commit sends the next commit, or repeats the one whose outcome is open.
func (l *leader) commit() {
	now := l.now()
	if l.pending == nil {
		if !l.cell.NeedsCommit() && now.Sub(l.idleSince) < leadership.CommitInterval {
			return
		}
		if !l.nextCommit(now) {
			return
		}
	}
	p := l.pending
	if now.Sub(p.madeAt) > awayAfter {
		l.storeAway("a commit has no answer")
	}
	if p.sending || now.Before(p.retryAt) {
		return
	}
	p.sending = true
	l.idleSince = now
	l.group.Go(func() { l.sendCommit(p, now) })
}

// storeAway makes the dispatcher refuse submissions until a commit succeeds.
func (l *leader) storeAway(reason string) {
	if l.away {
		return
	}
	l.away = true
	l.log.Info("dependency", "name", "store", "healthy", false, "error", reason)
	l.reduce(dispatch.StoreHealth{Away: true})
}

func (l *leader) nextCommit(now structs.Timestamp) bool {
	commit, err := l.cell.NextCommit(now)
	if err != nil {
		l.log.Error("a commit could not be encoded", "error", err)
		l.cancel()
		return false
	}
	row := l.row
	row.Sequence, row.At = commit.Sequence, l.storeNow()
	value, err := cbor.Marshal(row)
	if err != nil {
		l.log.Error("the leader row could not be encoded", "error", err)
		l.cancel()
		return false
	}
	puts := append([]tablestore.Put{{Table: dispatch.CellTable, Key: leaderKey, Value: value}}, commit.Puts...)
	l.pending = &pendingCommit{
		commit: commit, row: row, timeout: firstCommitTimeout, madeAt: now,
		tx: tablestore.Tx{Part: Part, Puts: puts, Removes: commit.Removes},
	}
	return true
}

func (l *leader) sendCommit(p *pendingCommit, sentAt structs.Timestamp) {
	tx := p.tx
	tx.Conditions = []tablestore.Condition{{Table: dispatch.CellTable, Key: leaderKey, Version: l.version}}
	page, err := l.instance.store.Commit(tx, p.timeout)
	select {
	case l.inbox <- func() { l.commitAnswered(p, sentAt, page, err) }:
	case <-l.ctx.Done():
	}
}

// commitAnswered settles a commit. The version chain of the leadership row
// tells after a lost answer whether the commit took effect, and keeps a late
// copy of it from taking effect twice.
func (l *leader) commitAnswered(p *pendingCommit, sentAt structs.Timestamp, page tablestore.Page, err error) {
	p.sending = false
	switch {
	case err == nil:
		l.noteStoreClock(page)
		l.commitDone(p, sentAt, page.Version)
	case errs.Is(err, errs.Conflict):
		l.commitConflict(p, sentAt, page)
	default:
		if p.failures++; p.failures >= failuresUntilAway {
			l.storeAway(err.Error())
		}
		l.instance.metrics.count("commit_failures", "kind", string(errs.KindOf(err)))
		p.timeout = min(p.timeout*8/5, maxCommitTimeout)
		p.retryAt = l.now().Add(commitRetry)
		if errs.Is(err, errs.NotRun) {
			p.retryAt = l.now().Add(maxCommitRetry)
		}
	}
}

func (l *leader) commitConflict(p *pendingCommit, sentAt structs.Timestamp, page tablestore.Page) {
	if version, ok := ownRow(page.Rows, p.row); ok {
		l.commitDone(p, sentAt, version)
		return
	}
	if version, ok := ownRow(page.Rows, l.row); ok {
		l.version = version
		return
	}
	l.depose("the leadership row has changed", 0)
}

func (l *leader) commitDone(p *pendingCommit, sentAt structs.Timestamp, version uint64) {
	now := l.now()
	if l.away {
		l.away = false
		l.reduce(dispatch.StoreHealth{})
		l.log.Info("dependency", "name", "store", "healthy", true, "away_ms", int64(now.Sub(l.okSince)/time.Millisecond))
	}
	l.instance.metrics.observe("commit", "kind", "leader", now.Sub(sentAt))
	if took := now.Sub(p.madeAt); took > slowCommit {
		l.log.Warn("slow commit", "took", took.String(), "last_try", now.Sub(sentAt).String(), "tries", p.failures+1,
			"entries", len(p.tx.Puts)+len(p.tx.Removes))
	}
	l.row, l.version, l.okSince, l.pending = p.row, version, now, nil
	l.cell.Confirm(sentAt)
	l.reduce(dispatch.CommitAnswered{Sequence: p.commit.Sequence})
}

func (l *leader) healthy() bool { return l.now().Sub(l.okSince) < unhealthyAfter }

// release gives the leadership up, so that another instance can claim it at
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
	row.Owner, row.At = "", l.storeNow()
	value, err := cbor.Marshal(row)
	if err != nil {
		l.log.Error("the leader row could not be encoded", "error", err)
		return
	}
	_, err = l.instance.store.Commit(tablestore.Tx{
		Part:       Part,
		Conditions: []tablestore.Condition{{Table: dispatch.CellTable, Key: leaderKey, Version: l.version}},
		Puts:       []tablestore.Put{{Table: dispatch.CellTable, Key: leaderKey, Value: value}},
	}, firstCommitTimeout)
	l.released = err == nil
	l.log.Info("release", "error", errText(err))
}

const (
	// configPatience is how long a follower may be behind before the leader
	// sends it the configuration: it reads the store itself, and a
	// configuration may be large.
	configPatience = time.Second
	// configRepeat separates two such messages to one follower.
	configRepeat = time.Second
)

// beat sends heartbeats to the other instances.
func (l *leader) beat() {
	now, version := l.now(), l.instance.config.version()
	l.peersMu.Lock()
	helped := map[structs.InstanceID]bool{}
	strongest := l.instance.options.Share
	for id, m := range l.peers {
		strongest = max(strongest, m.share)
		helped[id] = m.needsConfig(version, now)
	}
	l.peersMu.Unlock()
	for id, help := range helped {
		b := heartbeat{
			Epoch: l.epoch, Address: l.instance.options.PeerAddress, StoreHealthy: l.healthy(),
			ConfigVersion: version, Strongest: strongest,
		}
		if help {
			b.Config = l.instance.config.value()
		}
		l.instance.send(id, peer.KindLeader, 0, b)
	}
}

// needsConfig reports whether the follower has been behind for so long that
// it probably does not reach the store.
func (m *member) needsConfig(version uint64, now structs.Timestamp) bool {
	if m.config >= version || m.heardAt == 0 {
		m.behindAt = 0
		return false
	}
	if m.behindAt == 0 {
		m.behindAt = now
	}
	if now.Sub(m.behindAt) < configPatience || now.Sub(m.helpedAt) < configRepeat {
		return false
	}
	m.helpedAt = now
	return true
}

func (l *leader) members() []structs.InstanceID {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	list := make([]structs.InstanceID, 0, len(l.peers))
	for id := range l.peers {
		list = append(list, id)
	}
	return list
}

// heardFrom notes an echo of a follower.
func (l *leader) heardFrom(id structs.InstanceID, config uint64) {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	if m := l.peers[id]; m != nil {
		m.heardAt, m.config = l.now(), config
	}
}

// followPeers keeps connections to all instances.
func (l *leader) followPeers() {
	f := feed{instance: l.instance, table: peerTable, apply: func(row tablestore.Row) {
		id := structs.InstanceID(row.Key)
		var stored instanceRow
		if !row.Deleted && cbor.Unmarshal(row.Value, &stored) != nil {
			l.log.Warn("an instance's row was dropped", "instance", id)
			return
		}
		l.setPeer(id, stored)
	}}
	f.run(l.ctx)
}

func (l *leader) setPeer(id structs.InstanceID, row instanceRow) {
	if id == l.instance.options.ID || l.ctx.Err() != nil {
		return
	}
	l.peersMu.Lock()
	if row.Address == "" {
		delete(l.peers, id)
	} else if m := l.peers[id]; m == nil || m.address != row.Address {
		l.peers[id] = &member{address: row.Address, share: row.Share}
	}
	list := make([]structs.InstanceInfo, 0, len(l.peers))
	for id, m := range l.peers {
		list = append(list, structs.InstanceInfo{ID: id, PeerAddress: m.address})
	}
	l.peersMu.Unlock()
	l.instance.node.SetPeers(list)
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
		l.post(dispatch.WorkerSeen{Worker: w})
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

// jobCall carries out a call of this or another instance.
func (l *leader) jobCall(method string, in jobCall, timeout time.Duration) jobReply {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	result := make(chan jobReply, 1)
	reply := make(chan dispatch.Reply, 1) // an answer after the timeout goes nowhere
	select {
	case l.inbox <- func() { l.serve(method, in, result, reply) }:
	case <-l.ctx.Done():
		return jobReply{NotLeader: true}
	}
	select {
	case r := <-result:
		return r
	case r := <-reply:
		return jobReply{Verdict: r.Verdict, RetryAfter: r.RetryAfter}
	case <-timer.C:
		return jobReply{Verdict: dispatch.Unknown}
	case <-l.ctx.Done():
		if method == methodSubmit || method == methodCancel {
			return jobReply{Verdict: dispatch.Unknown}
		}
		return jobReply{NotLeader: true}
	}
}

func (l *leader) serve(method string, in jobCall, result chan jobReply, reply chan dispatch.Reply) {
	switch method {
	case methodState:
		state, known := l.cell.State(in.ID)
		if !known && l.cell.IsPending(in.ID) {
			state = workflow.Pending
		}
		result <- jobReply{State: state}
	case methodWaiting:
		result <- jobReply{Waiting: l.cell.Waiting(in.Name)}
	case methodSubmit, methodCancel:
		l.nextRef++
		l.replies[l.nextRef] = reply
		if method == methodCancel {
			l.reduce(dispatch.CancelJob{Ref: l.nextRef, ID: in.ID})
			return
		}
		l.reduce(dispatch.SubmitJob{Ref: l.nextRef, Job: *in.Job, Queue: *in.Queue})
	}
}
