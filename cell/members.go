package cell

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// member is another instance as the leader knows it.
type member struct {
	address string
	share   float64 // of a processor, in cores
	heardAt structs.Timestamp
	beatAt  structs.Timestamp // the last heartbeat was sent
	// roundTrip of the last heartbeat and its echo.
	roundTrip time.Duration
	config    uint64            // version that it has
	behindAt  structs.Timestamp // since when that is not the newest
	helpedAt  structs.Timestamp // it was last sent the newest
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
		m.beatAt = now
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
		l.instance.send(id, peer.KindLeaderHeartbeat, 0, b)
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
		m.roundTrip = m.heardAt.Sub(m.beatAt)
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
