package cell

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/peer"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
)

// member is another instance of the cell, as known to the leader.
type member struct {
	address          string
	processorShare   float64           // processor share in cores
	maxJobMemory     int64             // see instanceRow
	heartbeatReplyAt structs.Timestamp // when it last replied; 0 if never
	heartbeatSentAt  structs.Timestamp // when the last heartbeat was sent
	// roundTrip is the time from the last heartbeat to its reply.
	roundTrip     time.Duration
	uptime        time.Duration     // of its process at the last reply; 0 if unknown
	configVersion uint64            // version of its configuration
	outdatedSince structs.Timestamp // when a newer version was first known; 0 if up to date
	configSentAt  structs.Timestamp // when the leader last sent it the configuration
}

const (
	// configSendDelay is how long a follower's configuration may be outdated
	// before the leader sends it the current one. Followers read the store
	// themselves, and a configuration may be large.
	configSendDelay = time.Second
	// configResendInterval is the minimum time between two such messages to one
	// follower.
	configResendInterval = time.Second
)

// sendHeartbeats sends a heartbeat to every other instance.
func (l *leader) sendHeartbeats() {
	now, version := l.now(), l.instance.config.version()
	l.peersMu.Lock()
	sendConfig := map[structs.InstanceID]bool{}
	maxShare := l.instance.options.ProcessorShare
	for id, m := range l.peers {
		maxShare = max(maxShare, m.processorShare)
		sendConfig[id] = m.needsConfig(version, now)
		m.heartbeatSentAt = now
	}
	l.peersMu.Unlock()
	for id, withConfig := range sendConfig {
		b := heartbeat{
			Epoch: l.epoch, Address: l.instance.options.PeerAddress, StoreHealthy: l.isStoreHealthy(),
			ConfigVersion: version, MaxProcessorShare: maxShare,
		}
		if withConfig {
			b.Config = l.instance.config.encodedValue()
		}
		l.instance.send(id, peer.KindLeaderHeartbeat, 0, b)
	}
}

// needsConfig reports whether to send the configuration to the follower, and
// records that it is sent. It is due when the follower has been outdated for so
// long that it probably does not reach the store.
func (m *member) needsConfig(version uint64, now structs.Timestamp) bool {
	if m.configVersion >= version || m.heartbeatReplyAt == 0 {
		m.outdatedSince = 0
		return false
	}
	if m.outdatedSince == 0 {
		m.outdatedSince = now
	}
	if now.Sub(m.outdatedSince) < configSendDelay || now.Sub(m.configSentAt) < configResendInterval {
		return false
	}
	m.configSentAt = now
	return true
}

// hasPeer reports whether an instance is a member of the cell.
func (l *leader) hasPeer(id structs.InstanceID) bool {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	return l.peers[id] != nil
}

// instanceIDs returns the identifiers of the other instances.
func (l *leader) instanceIDs() []structs.InstanceID {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	list := make([]structs.InstanceID, 0, len(l.peers))
	for id := range l.peers {
		list = append(list, id)
	}
	return list
}

// maxJobMemory returns the memory for jobs of the instance that has the least of it.
func (l *leader) maxJobMemory() int64 {
	least := l.instance.options.Limits.withDefaults().JobMemory()
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	for _, m := range l.peers {
		if m.maxJobMemory > 0 {
			least = min(least, m.maxJobMemory)
		}
	}
	return least
}

// recordHeartbeatReply records a follower's reply to a heartbeat.
func (l *leader) recordHeartbeatReply(id structs.InstanceID, reply heartbeatReply) {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	if m := l.peers[id]; m != nil {
		m.heartbeatReplyAt, m.configVersion, m.uptime = l.now(), reply.ConfigVersion, reply.Uptime
		m.roundTrip = m.heartbeatReplyAt.Sub(m.heartbeatSentAt)
	}
}

// followPeers follows peerTable and keeps a connection to every instance.
func (l *leader) followPeers() {
	f := feed{instance: l.instance, table: peerTable, onRow: func(row tablestore.Row) {
		id := structs.InstanceID(row.Key)
		var stored instanceRow
		if !row.Deleted && cbor.Unmarshal(row.Value, &stored) != nil {
			l.log.Warn("dropped a malformed instance row", "instance", id)
			return
		}
		l.setPeer(id, stored)
	}}
	f.onListed = func(map[string]bool) { l.postFunc(l.sendHeartbeats) } // callers wait until their instance knows the leader
	f.run(l.ctx)
}

// setPeer adds or updates an instance; a row without an address removes it.
func (l *leader) setPeer(id structs.InstanceID, row instanceRow) {
	if id == l.instance.options.ID || l.ctx.Err() != nil {
		return
	}
	l.peersMu.Lock()
	if row.Address == "" {
		delete(l.peers, id)
	} else if m := l.peers[id]; m == nil || m.address != row.Address || m.maxJobMemory != row.MaxJobMemory {
		l.peers[id] = &member{address: row.Address, processorShare: row.ProcessorShare, maxJobMemory: row.MaxJobMemory}
	}
	list := make([]structs.InstanceInfo, 0, len(l.peers))
	for id, m := range l.peers {
		list = append(list, structs.InstanceInfo{ID: id, PeerAddress: m.address})
	}
	l.peersMu.Unlock()
	l.instance.transport.SetPeers(list)
}
