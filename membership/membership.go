package membership

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// State is one instance's view of the others. It is not safe for concurrent use.
type State struct {
	cfg        Config
	selfStatus Status
	// leavingByDirectory is set while selfStatus is Leaving only because the
	// directory lists this instance as leaving.
	leavingByDirectory bool
	members            map[structs.InstanceID]*member
	sortedIDs          []structs.InstanceID // sorted keys of members; Self is not a member
	lastTick           structs.Timestamp
}

// member is what is known about another instance.
type member struct {
	info           structs.InstanceInfo
	status         Status // status in the last InstanceChanged
	incarnation    uint64
	reportedStatus Status            // status that the member sent with its heartbeat
	directoryState structs.Lifecycle // last state in the directory; empty if never listed
	ended          bool              // the platform ended the current incarnation
	firstSeen      structs.Timestamp // when the member became known, moved forward by pauses of this process
	lastReceived   structs.Timestamp // local time of the last valid heartbeat, likewise moved; 0 if none
	lastSent       structs.Timestamp // sender's time of the last valid heartbeat
	heartbeats     int               // consecutive heartbeats since the last silence or restart
}

// New returns the initial view, without any other instance.
func New(cfg Config) *State {
	return &State{cfg: cfg.withDefaults(), selfStatus: Live, members: map[structs.InstanceID]*member{}}
}

// Reduce applies ev and returns the resulting changes of the view.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	switch e := ev.(type) {
	case InstancesListed:
		return s.directoryListed(now, e.Instances)
	case HeartbeatReceived:
		return s.heartbeatReceived(now, e)
	case SelfStatusChanged:
		s.leavingByDirectory = false
		return s.setSelfStatus(e.Status)
	case Tick:
		return s.tick(now)
	}
	return nil
}

// Status returns the status of an instance.
func (s *State) Status(id structs.InstanceID) Status {
	if id == s.cfg.Self.ID {
		return s.selfStatus
	}
	if m := s.members[id]; m != nil {
		return m.status
	}
	return Unknown
}

// Incarnation returns the last known incarnation of an instance, or 0.
func (s *State) Incarnation(id structs.InstanceID) uint64 {
	if id == s.cfg.Self.ID {
		return s.cfg.Incarnation
	}
	if m := s.members[id]; m != nil {
		return m.incarnation
	}
	return 0
}

// Live returns the live instances, sorted by identifier. They include this
// instance if it is live.
func (s *State) Live() []structs.InstanceInfo {
	var out []structs.InstanceInfo
	if s.selfStatus == Live {
		out = append(out, s.cfg.Self)
	}
	for _, id := range s.sortedIDs {
		if m := s.members[id]; m.status == Live {
			out = append(out, m.info)
		}
	}
	slices.SortFunc(out, func(a, b structs.InstanceInfo) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Peers returns the other instances that have an address and are not Gone.
// Heartbeats are sent to all of them, including Dead ones, since a paused
// instance resumes without notice.
func (s *State) Peers() []structs.InstanceInfo {
	var out []structs.InstanceInfo
	for _, id := range s.sortedIDs {
		if m := s.members[id]; m.status != Gone && m.info.PeerAddress != "" {
			out = append(out, m.info)
		}
	}
	return out
}

func (s *State) setSelfStatus(status Status) []structs.Effect {
	if status == "" || status == s.selfStatus {
		return nil
	}
	s.selfStatus = status
	return []structs.Effect{InstanceChanged{ID: s.cfg.Self.ID, Status: status, Incarnation: s.cfg.Incarnation}}
}

func (s *State) directoryListed(now structs.Timestamp, list []structs.InstanceInfo) []structs.Effect {
	var out []structs.Effect
	for _, info := range list {
		if info.ID == s.cfg.Self.ID {
			out = append(out, s.selfListed(info.State)...)
			continue
		}
		m := s.ensureMember(now, info.ID)
		// The list may be stale and still contain Gone after a newer process
		// has sent heartbeats, so only a change to Gone counts.
		if info.State == structs.Gone && m.directoryState != structs.Gone {
			m.ended = true
		}
		m.directoryState = info.State
		if m.lastReceived == 0 || m.info.PeerAddress == "" {
			m.info = info
		}
		out = append(out, s.updateStatus(now, m, false)...)
	}
	return out
}

// selfListed makes this instance Leaving when the directory lists it as leaving,
// and Live again when the directory lists it as live, because the listed state
// may date from an earlier process. A drain that the instance started itself
// is not reverted.
func (s *State) selfListed(state structs.Lifecycle) []structs.Effect {
	switch {
	case state == structs.Leaving && s.selfStatus == Live:
		s.leavingByDirectory = true
		return s.setSelfStatus(Leaving)
	case state == structs.Live && s.selfStatus == Leaving && s.leavingByDirectory:
		s.leavingByDirectory = false
		return s.setSelfStatus(Live)
	}
	return nil
}

func (s *State) heartbeatReceived(now structs.Timestamp, hb HeartbeatReceived) []structs.Effect {
	if hb.From == s.cfg.Self.ID {
		return nil
	}
	if hb.At != 0 && now.Sub(hb.At) > s.cfg.maxHeartbeatAge() {
		return nil // too old to show that the sender is still alive
	}
	m := s.ensureMember(now, hb.From)
	if hb.Incarnation < m.incarnation {
		return nil // from a process that was replaced
	}
	restarted := hb.Incarnation > m.incarnation && m.incarnation != 0
	if hb.Incarnation > m.incarnation {
		m.newIncarnation(hb.Incarnation)
	} else if m.ended {
		return nil // delayed message of a process that the platform has ended
	}
	if hb.At != 0 && hb.At <= m.lastSent {
		return nil // duplicated or reordered
	}
	m.recordHeartbeat(now, hb, s.cfg)
	return s.updateStatus(now, m, restarted)
}

func (m *member) newIncarnation(incarnation uint64) {
	m.incarnation = incarnation
	m.ended = false
	m.reportedStatus = ""
	m.lastSent = 0
	m.heartbeats = 0
}

func (m *member) recordHeartbeat(now structs.Timestamp, hb HeartbeatReceived, cfg Config) {
	if m.lastReceived != 0 && now.Sub(m.lastReceived) >= cfg.SuspectAfter {
		m.heartbeats = 0
	}
	// The very first heartbeat of a member makes it live immediately. Only
	// members that were silent or restarted need several heartbeats.
	if m.lastReceived == 0 {
		m.heartbeats = cfg.ReviveHeartbeats
	}
	m.heartbeats++
	m.lastReceived = now
	m.lastSent = max(m.lastSent, hb.At)
	m.reportedStatus = hb.Status
	if hb.Info != nil {
		m.info = *hb.Info
	}
}

func (s *State) tick(now structs.Timestamp) []structs.Effect {
	s.excludeOwnPause(now)
	var out []structs.Effect
	for _, id := range s.sortedIDs {
		out = append(out, s.updateStatus(now, s.members[id], false)...)
	}
	return out
}

// excludeOwnPause moves the times of the last observations forward by the time
// in which this process did not run. Otherwise an instance that resumes after a
// pause would declare all others dead.
func (s *State) excludeOwnPause(now structs.Timestamp) {
	const maxTickInterval = time.Second
	gap := now.Sub(s.lastTick)
	if s.lastTick != 0 && gap > maxTickInterval {
		for _, m := range s.members {
			if m.lastReceived != 0 {
				m.lastReceived = min(now, m.lastReceived.Add(gap))
			}
			m.firstSeen = min(now, m.firstSeen.Add(gap))
		}
	}
	s.lastTick = max(s.lastTick, now)
}

// ensureMember returns the member with the identifier and adds it if necessary.
func (s *State) ensureMember(now structs.Timestamp, id structs.InstanceID) *member {
	if m := s.members[id]; m != nil {
		return m
	}
	m := &member{info: structs.InstanceInfo{ID: id}, status: Unknown, firstSeen: now}
	s.members[id] = m
	at, _ := slices.BinarySearch(s.sortedIDs, id)
	s.sortedIDs = slices.Insert(s.sortedIDs, at, id)
	return m
}

// updateStatus recomputes the status of m and reports a change of the status or
// of the incarnation.
func (s *State) updateStatus(now structs.Timestamp, m *member, restarted bool) []structs.Effect {
	status := s.computeStatus(now, m)
	if status == m.status && !restarted {
		return nil
	}
	m.status = status
	return []structs.Effect{InstanceChanged{ID: m.info.ID, Status: status, Incarnation: m.incarnation, Restarted: restarted}}
}

func (s *State) computeStatus(now structs.Timestamp, m *member) Status {
	if m.ended {
		return Gone
	}
	last := m.lastReceived
	if last == 0 {
		last = m.firstSeen
	}
	silence := now.Sub(last)
	switch {
	case silence >= s.cfg.DeadAfter:
		return Dead
	case silence >= s.cfg.SuspectAfter || m.lastReceived == 0:
		return s.suspectOrDead(m)
	case m.heartbeats < s.cfg.ReviveHeartbeats:
		return s.suspectOrDead(m)
	case m.reportedStatus == Drained:
		return Drained
	case m.reportedStatus == Leaving || m.directoryState == structs.Leaving:
		return Leaving
	}
	return Live
}

// suspectOrDead returns the status of a member that is silent or has sent too
// few heartbeats since: Dead stays Dead until there are enough.
func (s *State) suspectOrDead(m *member) Status {
	if m.status == Dead {
		return Dead
	}
	return Suspect
}
