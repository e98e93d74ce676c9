package settings

import (
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// storeSource stands for the platform's store as the source of a fetch.
const storeSource structs.InstanceID = ""

func (f *Follower) raiseTarget(number uint64) {
	if number > f.target {
		f.target = number
		clear(f.failed)
	}
}

func (f *Follower) poll(now structs.Timestamp) []structs.Effect {
	if f.fetching && now.Sub(f.fetchSince) >= fetchTimeout {
		f.fetching = false
	}
	if f.polled && now.Sub(f.lastPoll) < PollInterval {
		return nil
	}
	f.polled, f.lastPoll = true, now
	clear(f.failed) // sources that failed may answer again
	return []structs.Effect{ReadHead{}}
}

// fetch asks for the missing versions, from one source at a time.
func (f *Follower) fetch(now structs.Timestamp) []structs.Effect {
	if f.target <= f.number || f.fetching {
		return nil
	}
	source, ok := f.source()
	if !ok {
		return nil
	}
	f.fetching, f.fetchSince = true, now
	f.failed[source] = true // until it answers, so that a repeat goes elsewhere
	if f.needTree || f.tree == nil || f.target-f.number > maxGap {
		return []structs.Effect{FetchTree{From: source, Number: f.target}}
	}
	return []structs.Effect{FetchVersions{From: source, After: f.number}}
}

// source returns a peer that has the target, or else the store, leaving out
// those that failed. Peers come first because the store's rate is scarce.
func (f *Follower) source() (structs.InstanceID, bool) {
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

// receiveVersions applies versions in order. A gap or a wrong hash makes the
// follower fetch the whole tree.
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
			f.needTree = true
			clear(f.failed)
			break
		}
		number, hash, tree = version.Number, version.Hash, next
		changes = append(changes, version.Diff...)
		recent = append(recent, version)
	}
	f.recent = slices.Clone(recent[max(0, len(recent)-maxGap):])
	return f.install(number, hash, tree, changes)
}

// receiveTree installs a whole tree if it is newer and has its hash.
func (f *Follower) receiveTree(e TreeReceived) []structs.Effect {
	f.fetching = false
	if e.Number <= f.number || e.Tree == nil || e.Tree.Hash() != e.Hash {
		return nil
	}
	f.raiseTarget(e.Number)
	f.needTree = false
	f.recent = nil
	return f.install(e.Number, e.Hash, e.Tree, Diff(f.tree, e.Tree))
}

func (f *Follower) install(number uint64, hash string, tree *Tree, changes []Change) []structs.Effect {
	if number <= f.number {
		return nil
	}
	f.number, f.hash, f.tree = number, hash, tree
	clear(f.failed)
	return []structs.Effect{InForce{Number: number, Tree: tree, Changes: changes}}
}

func (f *Follower) checkReady() []structs.Effect {
	if f.ready || f.number == 0 || !f.hasNewest() {
		return nil
	}
	f.ready = true
	return []structs.Effect{BecameReady{Number: f.number}}
}

// hasNewest reports whether the version in force is at least the store's or,
// while the store does not answer, that of every reachable peer.
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
