package settings

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const (
	// PollInterval is the time between two reads of the head. Polling is the
	// fallback when no peer sends a change; poll and transfer together take
	// well under the 9 s within which a version must be in force.
	PollInterval = 3 * time.Second
	// fetchTimeout is the time after which a fetch is repeated from another
	// source. With a timeout of 2 s and a third of all messages lost, a version
	// took up to 9.3 s to be in force everywhere. A reply takes well under 1 s
	// even between regions.
	fetchTimeout = time.Second
	// maxVersionGap is the largest number of versions fetched as differences.
	// Above it the whole tree is smaller.
	maxVersionGap = 50
)

// Events of Follower.
type (
	// VersionAnnounced carries the version in force at a peer; every heartbeat
	// contains it.
	VersionAnnounced struct {
		From   structs.InstanceID
		Number uint64
	}
	// VersionsReceived carries versions from a peer or, if From is "", from
	// the store.
	VersionsReceived struct {
		From     structs.InstanceID
		Versions []Version
	}
	// TreeReceived carries the whole tree of a version.
	TreeReceived struct {
		From   structs.InstanceID
		Number uint64
		Hash   string
		Tree   *Tree
	}
	// FetchFailed reports that a fetch from a peer or the store failed.
	FetchFailed struct{ From structs.InstanceID }
	// HeadRead carries the head of the store.
	HeadRead struct{ Head Head }
	// HeadReadFailed reports that the head could not be read from the store.
	HeadReadFailed struct{}
	// PeersChanged lists the peers that this instance can reach.
	PeersChanged struct{ Reachable []structs.InstanceID }
	// Tick advances the time.
	Tick struct{}
)

// Effects of Follower.
type (
	// ReadHead requests the store's head. HeadRead or HeadReadFailed must
	// follow.
	ReadHead struct{}
	// FetchVersions requests the versions above After from a peer or, if From
	// is "", from the store. VersionsReceived or FetchFailed must follow.
	FetchVersions struct {
		From  structs.InstanceID
		After uint64
	}
	// FetchTree requests the whole tree of version Number or a later one from a
	// peer or, if From is "", from the store. TreeReceived or
	// FetchFailed must follow.
	FetchTree struct {
		From   structs.InstanceID
		Number uint64
	}
	// InForce reports that a version is now in force at this instance.
	InForce struct {
		Number  uint64
		Tree    *Tree
		Changes []Change // changes since the version that was in force before
	}
	// BecameReady reports, once, that the settings allow this instance to serve.
	BecameReady struct{ Number uint64 }
)

// Kind implements structs.Event.
func (VersionAnnounced) Kind() string { return "settings_version_announced" }

// Kind implements structs.Event.
func (VersionsReceived) Kind() string { return "settings_versions_received" }

// Kind implements structs.Event.
func (TreeReceived) Kind() string { return "settings_tree_received" }

// Kind implements structs.Event.
func (FetchFailed) Kind() string { return "settings_fetch_failed" }

// Kind implements structs.Event.
func (HeadRead) Kind() string { return "settings_head_read" }

// Kind implements structs.Event.
func (HeadReadFailed) Kind() string { return "settings_head_read_failed" }

// Kind implements structs.Event.
func (PeersChanged) Kind() string { return "settings_peers_changed" }

// Kind implements structs.Event.
func (Tick) Kind() string { return "settings_tick" }

// Kind implements structs.Effect.
func (ReadHead) Kind() string { return "settings_read_head" }

// Kind implements structs.Effect.
func (FetchVersions) Kind() string { return "settings_fetch_versions" }

// Kind implements structs.Effect.
func (FetchTree) Kind() string { return "settings_fetch_tree" }

// Kind implements structs.Effect.
func (InForce) Kind() string { return "settings_in_force" }

// Kind implements structs.Effect.
func (BecameReady) Kind() string { return "settings_became_ready" }

// Follower is the reducer that brings new versions of the settings into force at
// an instance.
//
// Invariants: the version in force never decreases; every tree in force matches
// the hash of its version; the follower becomes ready only when it has the
// store's version or, while the store is unavailable, the highest version of
// all reachable peers.
type Follower struct {
	number uint64
	hash   string
	tree   *Tree
	ready  bool

	head          Head // newest head that was read
	storeRead     bool // the last read of the head succeeded
	storeDown     bool // the last read of the head failed
	lastPoll      structs.Timestamp
	hasPolled     bool
	announced     map[structs.InstanceID]uint64
	reachable     []structs.InstanceID
	target        uint64 // highest version known to exist
	fetching      bool
	fetchStarted  structs.Timestamp
	failed        map[structs.InstanceID]bool // sources already tried for the current target
	needWholeTree bool                        // the differences could not be applied
	recent        []Version                   // consecutive versions up to the one in force
}

// NewFollower returns a follower without settings.
func NewFollower() *Follower {
	return &Follower{announced: map[structs.InstanceID]uint64{}, failed: map[structs.InstanceID]bool{}}
}

// Current returns the number of the version in force and its tree, which are 0
// and nil before the first version.
func (f *Follower) Current() (uint64, *Tree) { return f.number, f.tree }

// Hash returns the hash of the version in force.
func (f *Follower) Hash() string { return f.hash }

// Ready reports whether the settings allow the instance to serve.
func (f *Follower) Ready() bool { return f.ready }

// LatestKnownVersion returns the highest version known to exist.
func (f *Follower) LatestKnownVersion() uint64 { return f.target }

// VersionsAfter returns the versions above number up to the one in force, to
// reply to a peer or to push a change to the peers. It returns false if the
// follower has not kept all of them; the peer then needs the whole tree.
func (f *Follower) VersionsAfter(number uint64) ([]Version, bool) {
	if number >= f.number {
		return nil, true
	}
	missing := f.number - number
	if missing > uint64(len(f.recent)) {
		return nil, false
	}
	return slices.Clone(f.recent[uint64(len(f.recent))-missing:]), true
}

// Reduce applies an event and returns the resulting effects.
func (f *Follower) Reduce(now structs.Timestamp, event structs.Event) []structs.Effect {
	var effects []structs.Effect
	switch e := event.(type) {
	case VersionAnnounced:
		f.announced[e.From] = e.Number // may decrease when the peer restarts
		f.raiseTarget(e.Number)
	case VersionsReceived:
		effects = f.receiveVersions(e)
	case TreeReceived:
		effects = f.receiveTree(e)
	case FetchFailed:
		f.fetching = false
		f.failed[e.From] = true
	case HeadRead:
		f.storeRead, f.storeDown = true, false
		if e.Head.Number >= f.head.Number {
			f.head = e.Head
		}
		f.raiseTarget(e.Head.Number)
	case HeadReadFailed:
		f.storeRead, f.storeDown = false, true
	case PeersChanged:
		f.reachable = append(f.reachable[:0], e.Reachable...)
	case Tick:
		effects = f.pollHead(now)
	}
	effects = append(effects, f.fetchMissing(now)...)
	return append(effects, f.checkReady()...)
}
