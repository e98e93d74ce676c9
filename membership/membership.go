package membership

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// State is the view of one instance. It is not safe for concurrent use.
type State struct {
	cfg  Config
	self Status
	// leavingByList is set while self is Leaving only because the directory
	// says so.
	leavingByList bool
	members       map[structs.InstanceID]*member
	order         []structs.InstanceID // sorted keys of members, without Self
	lastTick      structs.Timestamp
}

type member struct {
	info        structs.InstanceInfo
	status      Status // last one announced
	incarnation uint64
	phase       Status            // announced by the member itself
	listed      structs.Lifecycle // last state in the directory; empty if never listed
	gone        bool              // the current incarnation was ended by the platform
	known       structs.Timestamp // since when the member is known
	lastBeat    structs.Timestamp // local time of the last valid heartbeat; 0 if none
	lastSent    structs.Timestamp // sender's time of the last valid heartbeat
	beats       int               // consecutive heartbeats while not live
}

// New returns the view of an instance that has heard nobody yet.
func New(cfg Config) *State {
	return &State{cfg: cfg.withDefaults(), self: Live, members: map[structs.InstanceID]*member{}}
}

// Reduce applies ev and returns the changes of the view.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	switch e := ev.(type) {
	case DirectoryListed:
		return s.listed(now, e.Instances)
	case HeartbeatReceived:
		return s.heartbeat(now, e)
	case SelfPhase:
		s.leavingByList = false
		return s.setSelf(e.Phase)
	case Tick:
		return s.tick(now)
	}
	return nil
}

// Status returns the status of an instance.
func (s *State) Status(id structs.InstanceID) Status {
	if id == s.cfg.Self.ID {
		return s.self
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

// Live returns the live instances, this one included, sorted by identifier.
func (s *State) Live() []structs.InstanceInfo {
	var out []structs.InstanceInfo
	if s.self == Live {
		out = append(out, s.cfg.Self)
	}
	for _, id := range s.order {
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

// Peers returns all other instances that may be reachable: those that are
// neither gone nor known without an address. Heartbeats go to all of them,
// also to dead ones, since a pause ends without notice.
func (s *State) Peers() []structs.InstanceInfo {
	var out []structs.InstanceInfo
	for _, id := range s.order {
		if m := s.members[id]; m.status != Gone && m.info.PeerAddress != "" {
			out = append(out, m.info)
		}
	}
	return out
}

func (s *State) setSelf(phase Status) []structs.Effect {
	if phase == "" || phase == s.self {
		return nil
	}
	s.self = phase
	return []structs.Effect{InstanceChanged{ID: s.cfg.Self.ID, Status: phase, Incarnation: s.cfg.Incarnation}}
}

func (s *State) listed(now structs.Timestamp, list []structs.InstanceInfo) []structs.Effect {
	var out []structs.Effect
	for _, info := range list {
		if info.ID == s.cfg.Self.ID {
			out = append(out, s.selfListed(info.State)...)
			continue
		}
		m := s.member(now, info.ID)
		// A list that keeps saying gone after a newer process was heard is
		// stale, so only a change to gone counts.
		if info.State == structs.Gone && m.listed != structs.Gone {
			m.gone = true
		}
		m.listed = info.State
		if m.lastBeat == 0 || m.info.PeerAddress == "" {
			m.info = info
		}
		out = append(out, s.update(now, m, false)...)
	}
	return out
}

// selfListed takes a leaving mark for this instance from the directory, and
// takes it back when the directory lists the instance as live again: the mark
// may be left from an earlier process. A drain that the instance began itself
// is kept.
func (s *State) selfListed(state structs.Lifecycle) []structs.Effect {
	switch {
	case state == structs.Leaving && s.self == Live:
		s.leavingByList = true
		return s.setSelf(Leaving)
	case state == structs.Live && s.self == Leaving && s.leavingByList:
		s.leavingByList = false
		return s.setSelf(Live)
	}
	return nil
}

func (s *State) heartbeat(now structs.Timestamp, hb HeartbeatReceived) []structs.Effect {
	if hb.From == s.cfg.Self.ID {
		return nil
	}
	if hb.At != 0 && now.Sub(hb.At) > s.cfg.maxBeatAge() {
		return nil // sent too long ago to prove anything
	}
	m := s.member(now, hb.From)
	if hb.Incarnation < m.incarnation {
		return nil // from a process that was replaced
	}
	restarted := hb.Incarnation > m.incarnation && m.incarnation != 0
	if hb.Incarnation > m.incarnation {
		m.newIncarnation(hb.Incarnation)
	} else if m.gone {
		return nil // delayed; the platform ended this process
	}
	if hb.At != 0 && hb.At <= m.lastSent {
		return nil // doubled or overtaken by a later one
	}
	m.accept(now, hb, s.cfg)
	return s.update(now, m, restarted)
}

func (m *member) newIncarnation(incarnation uint64) {
	m.incarnation = incarnation
	m.gone = false
	m.phase = ""
	m.lastSent = 0
	m.beats = 0
}

func (m *member) accept(now structs.Timestamp, hb HeartbeatReceived, cfg Config) {
	if m.lastBeat != 0 && now.Sub(m.lastBeat) >= cfg.SuspectAfter {
		m.beats = 0
	}
	// The very first heartbeat of an unknown member makes it live at once;
	// hysteresis applies to those that were silent or restarted.
	if m.lastBeat == 0 {
		m.beats = cfg.ReviveBeats
	}
	m.beats++
	m.lastBeat = now
	m.lastSent = max(m.lastSent, hb.At)
	m.phase = hb.Phase
	if hb.Info != nil {
		m.info = *hb.Info
	}
}

func (s *State) tick(now structs.Timestamp) []structs.Effect {
	s.forgivePause(now)
	var out []structs.Effect
	for _, id := range s.order {
		out = append(out, s.update(now, s.members[id], false)...)
	}
	return out
}

// forgivePause shifts the observations by the time in which this process did
// not run. Without it, an instance that wakes from a pause would declare all
// others dead.
func (s *State) forgivePause(now structs.Timestamp) {
	const longestTick = time.Second
	gap := now.Sub(s.lastTick)
	if s.lastTick != 0 && gap > longestTick {
		for _, m := range s.members {
			if m.lastBeat != 0 {
				m.lastBeat = min(now, m.lastBeat.Add(gap))
			}
			m.known = min(now, m.known.Add(gap))
		}
	}
	s.lastTick = max(s.lastTick, now)
}

func (s *State) member(now structs.Timestamp, id structs.InstanceID) *member {
	if m := s.members[id]; m != nil {
		return m
	}
	m := &member{info: structs.InstanceInfo{ID: id}, status: Unknown, known: now}
	s.members[id] = m
	at, _ := slices.BinarySearch(s.order, id)
	s.order = slices.Insert(s.order, at, id)
	return m
}

// update recomputes the status of m and announces a change.
func (s *State) update(now structs.Timestamp, m *member, restarted bool) []structs.Effect {
	status := s.statusOf(now, m)
	if status == m.status && !restarted {
		return nil
	}
	m.status = status
	return []structs.Effect{InstanceChanged{ID: m.info.ID, Status: status, Incarnation: m.incarnation, Restarted: restarted}}
}

func (s *State) statusOf(now structs.Timestamp, m *member) Status {
	if m.gone {
		return Gone
	}
	last := m.lastBeat
	if last == 0 {
		last = m.known
	}
	silence := now.Sub(last)
	switch {
	case silence >= s.cfg.DeadAfter:
		return Dead
	case silence >= s.cfg.SuspectAfter || m.lastBeat == 0:
		return s.silentStatus(m)
	case m.beats < s.cfg.ReviveBeats:
		return s.silentStatus(m)
	case m.phase == Drained:
		return Drained
	case m.phase == Leaving || m.listed == structs.Leaving:
		return Leaving
	}
	return Live
}

// silentStatus keeps Dead until enough heartbeats arrived.
func (s *State) silentStatus(m *member) Status {
	if m.status == Dead {
		return Dead
	}
	return Suspect
}
