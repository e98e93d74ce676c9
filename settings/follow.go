package settings

import (
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// storeSource denotes the platform's store as the source of a fetch.
const storeSource structs.InstanceID = ""

// raiseTarget records that version number exists.
func (f *Follower) raiseTarget(number uint64) {
	if number > f.target {
		f.target = number
		clear(f.failed)
	}
}

// pollHead reads the head when it is due, and lets a fetch that takes too long
// be repeated.
func (f *Follower) pollHead(now structs.Timestamp) []structs.Effect {
	if f.fetching && now.Sub(f.fetchStarted) >= fetchTimeout {
		f.fetching = false
	}
	if f.hasPolled && now.Sub(f.lastPoll) < PollInterval {
		return nil
	}
	f.hasPolled, f.lastPoll = true, now
	clear(f.failed) // failed sources may be available again
	return []structs.Effect{ReadHead{}}
}

// fetchMissing requests the versions above the one in force, from one source at
// a time.
func (f *Follower) fetchMissing(now structs.Timestamp) []structs.Effect {
	if f.target <= f.number || f.fetching {
		return nil
	}
	source, ok := f.nextSource()
	if !ok {
		return nil
	}
	f.fetching, f.fetchStarted = true, now
	f.failed[source] = true // until a version is installed, so that a repeat uses another source
	if f.needWholeTree || f.tree == nil || f.target-f.number > maxVersionGap {
		return []structs.Effect{FetchTree{From: source, Number: f.target}}
	}
	return []structs.Effect{FetchVersions{From: source, After: f.number}}
}

// nextSource returns a peer that has the target version, or otherwise the store,
// excluding sources that failed. Peers are preferred because the rate of store
// reads is limited.
func (f *Follower) nextSource() (structs.InstanceID, bool) {
	for _, peer := range f.reachable {
		if f.announced[peer] >= f.target && !f.failed[peer] {
			return peer, true
		}
	}
	if !f.failed[storeSource] && f.head.Number >= f.target {
		return storeSource, true
	}
	return "", false
}

// receiveVersions applies versions in order. After a gap, a change that does not
// apply or a wrong hash, the follower fetches the whole tree.
func (f *Follower) receiveVersions(e VersionsReceived) []structs.Effect {
	f.fetching = false
	number, hash, tree := f.number, f.hash, f.tree
	var changes []Change
	recent := f.recent
	for _, version := range e.Versions {
		f.raiseTarget(version.Number)
		if version.Number <= number {
			continue
		}
		next, err := applyUnchecked(tree, version.Diff)
		if version.Number != number+1 || err != nil || next.Hash() != version.Hash {
			f.needWholeTree = true
			clear(f.failed)
			break
		}
		number, hash, tree = version.Number, version.Hash, next
		changes = append(changes, version.Diff...)
		recent = append(recent, version)
	}
	f.recent = slices.Clone(recent[max(0, len(recent)-maxVersionGap):])
	return f.install(number, hash, tree, changes)
}

// receiveTree installs a whole tree if it is newer and matches its hash.
func (f *Follower) receiveTree(e TreeReceived) []structs.Effect {
	f.fetching = false
	if e.Number <= f.number || e.Tree == nil || e.Tree.Hash() != e.Hash {
		return nil
	}
	f.raiseTarget(e.Number)
	f.needWholeTree = false
	f.recent = nil
	return f.install(e.Number, e.Hash, e.Tree, Diff(f.tree, e.Tree))
}

// install brings a version into force if it is newer than the current one.
func (f *Follower) install(number uint64, hash string, tree *Tree, changes []Change) []structs.Effect {
	if number <= f.number {
		return nil
	}
	f.number, f.hash, f.tree = number, hash, tree
	clear(f.failed)
	return []structs.Effect{InForce{Number: number, Tree: tree, Changes: changes}}
}

// checkReady makes the follower ready once it has the newest version.
func (f *Follower) checkReady() []structs.Effect {
	if f.ready || f.number == 0 || !f.hasNewest() {
		return nil
	}
	f.ready = true
	return []structs.Effect{BecameReady{Number: f.number}}
}

// hasNewest reports whether the version in force is at least the version of the
// store or, while the store is unavailable, of every reachable peer.
func (f *Follower) hasNewest() bool {
	if f.storeRead {
		return f.number >= f.head.Number
	}
	if !f.storeDown || len(f.reachable) == 0 {
		return false
	}
	return !slices.ContainsFunc(f.reachable, func(peer structs.InstanceID) bool {
		number, known := f.announced[peer]
		return !known || number > f.number
	})
}
