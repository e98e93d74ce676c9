package settings

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// message is an event on its way to a follower.
type message struct {
	at    structs.Timestamp
	to    int
	event structs.Event
}

// network carries events between followers and a store in virtual time.
type network struct {
	rng       *rand.Rand
	loss      float64 // of every message
	peers     bool    // followers reach each other
	followers []*Follower
	ids       []structs.InstanceID
	versions  []Version
	trees     []*Tree
	queue     []message
	commitAt  structs.Timestamp
	inForce   []structs.Timestamp // when each follower had the newest version
}

const (
	step      = 100 * time.Millisecond // of virtual time
	heartbeat = time.Second
	delay     = 200 * time.Millisecond // of every message; above a round trip between regions
)

func (n *network) send(now structs.Timestamp, to int, event structs.Event) {
	if n.rng.Float64() >= n.loss {
		n.queue = append(n.queue, message{now.Add(delay), to, event})
	}
}

// carryOut answers the effects of a follower like a peer or the store would.
func (n *network) carryOut(now structs.Timestamp, self int, effects []structs.Effect) {
	newest := uint64(len(n.versions) - 1)
	if now < n.commitAt {
		newest--
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case ReadHead:
			n.send(now, self, HeadRead{Head{Number: newest}})
		case FetchVersions:
			n.send(now, self, VersionsReceived{From: e.From, Versions: n.versions[e.After+1 : newest+1]})
		case FetchTree:
			n.send(now, self, TreeReceived{From: e.From, Number: newest, Hash: n.versions[newest].Hash, Tree: n.trees[newest]})
		case InForce:
			if now >= n.commitAt && e.Number == newest && n.inForce[self] == 0 {
				n.inForce[self] = now
			}
		}
	}
}

func (n *network) deliver(now structs.Timestamp) {
	due := n.queue
	n.queue = nil
	for _, m := range due {
		if m.at.After(now) {
			n.queue = append(n.queue, m)
			continue
		}
		n.carryOut(now, m.to, n.followers[m.to].Reduce(now, m.event))
	}
}

func (n *network) tick(now structs.Timestamp, i int) {
	n.carryOut(now, i, n.followers[i].Reduce(now, Tick{}))
	offset := structs.Timestamp(i) * structs.Timestamp(step)
	if !n.peers || now.Sub(offset)%heartbeat != 0 {
		return
	}
	for j := range n.followers {
		if j != i {
			n.send(now, j, VersionAnnounced{From: n.ids[i], Number: n.followers[i].number})
		}
	}
}

// run commits the newest version at the first follower after the others
// settled, and returns how long it takes until it is in force everywhere.
func (n *network) run(t *testing.T, commitAt structs.Timestamp) time.Duration {
	n.commitAt = commitAt
	n.inForce = make([]structs.Timestamp, len(n.followers))
	for now := structs.Timestamp(0); now < commitAt.Add(time.Minute); now = now.Add(step) {
		if now == commitAt {
			newest := n.versions[len(n.versions)-1]
			n.carryOut(now, 0, n.followers[0].Reduce(now, VersionsReceived{Versions: []Version{newest}}))
			for j := 1; n.peers && j < len(n.followers); j++ {
				n.send(now, j, VersionsReceived{From: n.ids[0], Versions: []Version{newest}})
			}
		}
		n.deliver(now)
		for i := range n.followers {
			n.tick(now, i)
		}
		if last, ok := n.last(); ok {
			return last.Sub(commitAt)
		}
	}
	t.Fatal("the version is not in force everywhere after a minute")
	return 0
}

func (n *network) last() (structs.Timestamp, bool) {
	var last structs.Timestamp
	for _, at := range n.inForce {
		if at == 0 {
			return 0, false
		}
		last = max(last, at)
	}
	return last, true
}

func newNetwork(seed uint64, loss float64, peers bool, versions []Version, trees []*Tree) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 3)), loss: loss, peers: peers, versions: versions, trees: trees}
	for i := range 8 {
		n.ids = append(n.ids, structs.InstanceID(fmt.Sprint("i", i)))
		f := NewFollower()
		f.reduceAll(TreeReceived{Number: 1, Hash: versions[1].Hash, Tree: trees[1]})
		n.followers = append(n.followers, f)
	}
	for i, f := range n.followers {
		var reachable []structs.InstanceID
		for j, id := range n.ids {
			if j != i && peers {
				reachable = append(reachable, id)
			}
		}
		f.reduceAll(PeersChanged{Reachable: reachable})
	}
	return n
}

// Guards against a version that takes more than 9 s until it is in force at
// all 8 instances (guarantee G8), with and without peers and with lost
// messages.
func TestInForceEverywhereWithinNineSeconds(t *testing.T) {
	versions, trees := chain(t, 2)
	cases := []struct {
		name  string
		loss  float64
		peers bool
	}{
		{"no loss", 0, true},
		{"a third of the messages lost", 1.0 / 3, true},
		{"polling only", 0, false},
	}
	for _, c := range cases {
		var longest time.Duration
		for seed := range uint64(200) {
			n := newNetwork(seed, c.loss, c.peers, versions, trees)
			phase := structs.Timestamp(seed%30) * structs.Timestamp(step) // of the commit between polls
			longest = max(longest, n.run(t, structs.Timestamp(10*time.Second)+phase))
		}
		t.Logf("%s: longest %v of 200 seeds", c.name, longest)
		if longest > 9*time.Second {
			t.Errorf("%s: %v", c.name, longest)
		}
	}
}
