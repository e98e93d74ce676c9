package settings

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// message is an event in transit to a follower.
type message struct {
	at    structs.Timestamp
	to    int
	event structs.Event
}

// network simulates followers and a store that exchange messages in virtual time.
type network struct {
	rng         *rand.Rand
	lossRate    float64 // probability that a message is lost
	peers       bool    // whether followers can reach each other
	followers   []*Follower
	ids         []structs.InstanceID
	versions    []Version
	trees       []*Tree
	queue       []message
	committedAt structs.Timestamp
	inForce     []structs.Timestamp // when the newest version came into force at each follower
}

const (
	tickInterval      = 100 * time.Millisecond // virtual time between two ticks
	heartbeatInterval = time.Second
	messageDelay      = 200 * time.Millisecond // delay of every message; longer than a round trip between regions
)

func (n *network) send(now structs.Timestamp, to int, event structs.Event) {
	if n.rng.Float64() >= n.lossRate {
		n.queue = append(n.queue, message{now.Add(messageDelay), to, event})
	}
}

// execute sends the replies of a peer or the store to a follower's effects.
func (n *network) execute(now structs.Timestamp, self int, effects []structs.Effect) {
	newest := uint64(len(n.versions) - 1)
	if now < n.committedAt {
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
			if now >= n.committedAt && e.Number == newest && n.inForce[self] == 0 {
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
		n.execute(now, m.to, n.followers[m.to].Reduce(now, m.event))
	}
}

func (n *network) tick(now structs.Timestamp, i int) {
	n.execute(now, i, n.followers[i].Reduce(now, Tick{}))
	offset := structs.Timestamp(i) * structs.Timestamp(tickInterval)
	if !n.peers || now.Sub(offset)%heartbeatInterval != 0 {
		return
	}
	for j := range n.followers {
		if j != i {
			n.send(now, j, VersionAnnounced{From: n.ids[i], Number: n.followers[i].number})
		}
	}
}

// run commits the newest version at the first follower at commitAt, when the
// previous one is in force everywhere, and returns the time until it is in force
// at all followers.
func (n *network) run(t *testing.T, commitAt structs.Timestamp) time.Duration {
	n.committedAt = commitAt
	n.inForce = make([]structs.Timestamp, len(n.followers))
	for now := structs.Timestamp(0); now < commitAt.Add(time.Minute); now = now.Add(tickInterval) {
		if now == commitAt {
			newest := n.versions[len(n.versions)-1]
			n.execute(now, 0, n.followers[0].Reduce(now, VersionsReceived{Versions: []Version{newest}}))
			for j := 1; n.peers && j < len(n.followers); j++ {
				n.send(now, j, VersionsReceived{From: n.ids[0], Versions: []Version{newest}})
			}
		}
		n.deliver(now)
		for i := range n.followers {
			n.tick(now, i)
		}
		if last, ok := n.lastInForce(); ok {
			return last.Sub(commitAt)
		}
	}
	t.Fatal("the version is not in force everywhere after a minute")
	return 0
}

// lastInForce returns when the newest version came into force at the last
// follower, and false if some followers do not have it yet.
func (n *network) lastInForce() (structs.Timestamp, bool) {
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
	n := &network{rng: rand.New(rand.NewPCG(seed, 3)), lossRate: loss, peers: peers, versions: versions, trees: trees}
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

// Guards against a version that takes more than 9 s to be in force at all 8
// instances (guarantee G8), with and without peers and with message loss.
func TestInForceEverywhereWithinNineSeconds(t *testing.T) {
	versions, trees := versionChain(t, 2)
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
			phase := structs.Timestamp(seed%30) * structs.Timestamp(tickInterval) // offset of the commit between polls
			longest = max(longest, n.run(t, structs.Timestamp(10*time.Second)+phase))
		}
		t.Logf("%s: longest %v of 200 seeds", c.name, longest)
		if longest > 9*time.Second {
			t.Errorf("%s: %v", c.name, longest)
		}
	}
}
