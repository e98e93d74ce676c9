package ownership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	second = structs.Timestamp(time.Second)
	shard  = structs.ShardID("bajio")
	epoch0 = 1000 * second // start of virtual time
	tick   = second / 4
)

// cell runs processes of ownership against one store in virtual time.
type cell struct {
	store *standin.Store
	now   structs.Timestamp
	procs []*proc
	down  bool // the store refuses everything
	lose  int  // replies of commits to lose
}

type proc struct {
	*State
	skew     time.Duration // of its clock
	stopped  bool
	acquired []Acquired
	lost     int
}

func newCell(n int, defects Defects) *cell {
	c := &cell{store: standin.NewStore(), now: epoch0}
	c.store.Fault = func(op string) standin.Fault {
		if op == "commit" && c.lose > 0 {
			c.lose--
			return standin.Fault{LoseReply: true}
		}
		return standin.Fault{Unavailable: c.down}
	}
	var live []structs.InstanceInfo
	for i := range n {
		info := structs.InstanceInfo{ID: structs.InstanceID(fmt.Sprintf("i%d", i))}
		live = append(live, info)
		cfg := Config{Self: info, Incarnation: uint64(i + 1), Shards: []Shard{{ID: shard}}, Defects: defects}
		// The clocks are as far apart as the clock bound allows.
		skew := provider.ClockBound / 2 * time.Duration(i%3-1)
		c.procs = append(c.procs, &proc{State: New(cfg), skew: skew})
	}
	for _, p := range c.procs {
		c.send(p, LiveChanged{Instances: live})
	}
	return c
}

func (c *cell) send(p *proc, ev structs.Event) {
	for _, effect := range p.Reduce(c.now.Add(p.skew), ev) {
		switch e := effect.(type) {
		case Acquired:
			p.acquired = append(p.acquired, e)
		case Lost:
			p.lost++
		}
		if answer, ok := Execute(context.Background(), c.store, effect); ok {
			c.send(p, answer)
		}
	}
}

func (c *cell) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now += tick {
		for _, p := range c.procs {
			if !p.stopped {
				c.send(p, Tick{})
			}
		}
	}
}

func (c *cell) owner(t *testing.T) *proc {
	t.Helper()
	var found *proc
	for _, p := range c.procs {
		if p.Standing(c.now.Add(p.skew), shard) != Owner {
			continue
		}
		if found != nil {
			t.Fatalf("two owners at %v", c.now)
		}
		found = p
	}
	return found
}

// Guards against a shard that stays without an owner for longer than 7.5 s
// after its owner died, and against a takeover before the lease is over. The
// owner dies at different points between two renewals.
func TestTakeoverBound(t *testing.T) {
	var longest time.Duration
	for offset := time.Duration(0); offset < 3*time.Second; offset += 250 * time.Millisecond {
		for turn := range 3 { // who has the fast clock, and who the slow one
			c := newCell(3, Defects{})
			for i, p := range c.procs {
				p.skew = provider.ClockBound / 2 * time.Duration((i+turn)%3-1)
			}
			c.run(10*time.Second + offset)
			longest = max(longest, takeOver(t, c))
		}
	}
	t.Logf("longest time without an owner: %v", longest)
	if longest > 7500*time.Millisecond {
		t.Errorf("%v without an owner, want at most 7.5 s", longest)
	}
}

// takeOver ends the owner, waits for the next one and returns how long that
// took. It then wakes the first owner, which must find out that it lost.
func takeOver(t *testing.T, c *cell) time.Duration {
	t.Helper()
	first := c.owner(t)
	first.stopped = true
	died := c.now
	var live []structs.InstanceInfo
	for _, p := range c.procs {
		if p != first {
			live = append(live, p.cfg.Self)
		}
	}
	for next := first; next == nil || next == first; next = c.owner(t) {
		c.run(250 * time.Millisecond)
		if c.now.Sub(died) == 4*time.Second { // when membership suspects it
			for _, p := range c.procs {
				c.send(p, LiveChanged{Instances: live})
			}
		}
		if c.now.Sub(died) > 20*time.Second {
			t.Fatal("no owner after 20 s")
		}
	}
	took := c.now.Sub(died)
	next := c.owner(t)
	if got := next.acquired[0]; got.Epoch != 2 || got.PreviousHorizon < died.Add(73*time.Minute) {
		t.Fatalf("acquired = %+v, want epoch 2 and the horizon of the first owner", got)
	}
	first.stopped = false
	if first.Standing(c.now.Add(first.skew), shard) == Owner {
		t.Fatal("the first owner woke up and believes that it owns the shard")
	}
	c.run(3 * time.Second)
	if first.lost != 1 || c.owner(t) != next {
		t.Fatalf("the first owner did not find out: lost = %d", first.lost)
	}
	return took
}

// Guards against a cell without owners, or with a new epoch, because of a
// table outage: nobody can take over, so the owner holds what it has.
func TestOwnerHoldsThroughOutage(t *testing.T) {
	c := newCell(3, Defects{})
	c.run(10 * time.Second)
	first := c.owner(t)
	c.down = true
	c.run(time.Hour)
	if got := first.Standing(c.now, shard); got != Holding {
		t.Fatalf("standing = %v during the outage, want Holding", got)
	}
	c.down = false
	c.run(20 * time.Second)
	epoch := c.owner(t).Epoch(shard)
	if epoch > 2 {
		t.Fatalf("epoch = %d after the outage", epoch)
	}
	c.down = true
	c.run(76 * time.Minute)
	for _, p := range c.procs {
		if p.Standing(c.now, shard) != NotOwner {
			t.Fatal("an owner goes on past its horizon")
		}
	}
}

// Guards against guessing after a lost reply: a takeover or renewal that took
// effect must be recognised and must not raise the epoch again.
func TestLostRepliesAreReadBack(t *testing.T) {
	c := newCell(1, Defects{})
	c.lose = 5
	c.run(20 * time.Second)
	p := c.owner(t)
	if p == nil || p.Epoch(shard) != 1 || len(p.acquired) != 1 || p.lost != 0 {
		t.Fatalf("acquired = %v, lost = %d, want epoch 1 acquired once", p.acquired, p.lost)
	}
}

// Guards against a planned stop that costs a lease length: the successor must
// own the shard within one second, with the epoch raised by one.
func TestHandOver(t *testing.T) {
	c := newCell(3, Defects{})
	c.run(10 * time.Second)
	first := c.owner(t)
	var live []structs.InstanceInfo
	for _, p := range c.procs {
		if p != first {
			live = append(live, p.cfg.Self)
		}
	}
	for _, p := range c.procs {
		c.send(p, LiveChanged{Instances: live})
	}
	to := first.Preferred(shard)
	c.send(first, HandOver{Shard: shard, To: to})
	if first.Standing(c.now, shard) != NotOwner {
		t.Fatal("the owner goes on after the hand-over")
	}
	for _, p := range c.procs {
		if p.cfg.Self.ID == to {
			c.send(p, HandOverReceived{Shard: shard})
		}
	}
	c.run(time.Second)
	next := c.owner(t)
	if next == nil || next.cfg.Self.ID != to || next.Epoch(shard) != 2 {
		t.Fatalf("owner = %+v, want %s in epoch 2", next, to)
	}
}

// Guards against a hand-over that fails because its notice overtakes the write
// of the row: the successor must keep looking, and the old owner must not take
// the shard back first. Found by package faulttest with seed 85.
func TestHandOverNoticeOvertakesTheRow(t *testing.T) {
	c := newCell(2, Defects{})
	c.run(10 * time.Second)
	first := c.owner(t)
	next := c.procs[0]
	if next == first {
		next = c.procs[1]
	}
	c.send(next, HandOverReceived{Shard: shard})
	c.run(time.Second)
	c.send(first, HandOver{Shard: shard, To: next.cfg.Self.ID})
	c.run(time.Second)
	if c.owner(t) != next || next.Epoch(shard) != 2 {
		t.Fatalf("the successor does not own the shard; epoch %d", next.Epoch(shard))
	}
}

// Guards against a shard that stays unknown because the first list lacked it.
func TestShardListedLaterIsOwned(t *testing.T) {
	c := newCell(1, Defects{})
	c.run(time.Second)
	c.send(c.procs[0], ShardsListed{Shards: []Shard{{ID: "later"}, {ID: shard}}})
	c.run(time.Second)
	if got := c.procs[0].Owned(); len(got) != 2 {
		t.Fatalf("owned = %v, want both shards", got)
	}
}

// Guards against two processes of one instance that own the same epoch, and
// against a process that resumes the epoch of its predecessor.
func TestRestartedProcessWaits(t *testing.T) {
	c := newCell(1, Defects{})
	c.run(10 * time.Second)
	old := c.procs[0]
	cfg := old.cfg
	cfg.Incarnation = 99
	young := &proc{State: New(cfg)}
	c.procs = append(c.procs, young)
	c.send(young, LiveChanged{Instances: []structs.InstanceInfo{cfg.Self}})
	c.run(30 * time.Second)
	if c.owner(t) != old {
		t.Fatal("the new process took over from a running one")
	}
	old.stopped = true
	c.run(8 * time.Second)
	if c.owner(t) != young || young.Epoch(shard) != 2 {
		t.Fatalf("epoch = %d, want the new process in epoch 2", young.Epoch(shard))
	}
}

// Guards against a conflict on the table that a stale row version hides.
func TestMalformedRowStopsTakeover(t *testing.T) {
	c := newCell(1, Defects{})
	p := c.procs[0]
	p.Reduce(c.now, Tick{})
	c.send(p, RowRead{Shard: shard, ErrKind: errs.InvalidInput})
	if len(p.acquired) != 0 {
		t.Fatal("a shard with an unreadable row was taken over")
	}
}
