package settings

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// versionChain returns n consecutive versions and their trees; index 0 is empty.
func versionChain(t testing.TB, n int) ([]Version, []*Tree) {
	versions, trees := make([]Version, n+1), make([]*Tree, n+1)
	for i := 1; i <= n; i++ {
		trees[i] = treeWithCost(t, 100+i)
		versions[i] = Version{Number: uint64(i), Hash: trees[i].Hash(), Diff: Diff(trees[i-1], trees[i])}
	}
	return versions, trees
}

func effectKinds(effects []structs.Effect) string {
	names := make([]string, len(effects))
	for i, effect := range effects {
		names[i] = strings.TrimPrefix(effect.Kind(), "settings_")
	}
	return strings.Join(names, " ")
}

func (f *Follower) reduceAll(events ...structs.Event) string {
	var all []structs.Effect
	for _, event := range events {
		all = append(all, f.Reduce(0, event)...)
	}
	return effectKinds(all)
}

// Guards against an instance that serves with outdated settings after a restart.
func TestReadiness(t *testing.T) {
	versions, trees := versionChain(t, 3)
	tree := func(n uint64) TreeReceived {
		return TreeReceived{Number: n, Hash: versions[n].Hash, Tree: trees[n]}
	}
	peers := PeersChanged{Reachable: []structs.InstanceID{"a", "b"}}
	cases := []struct {
		name   string
		events []structs.Event
		ready  bool
	}{
		{"nothing known", nil, false},
		{"tree without head", []structs.Event{tree(3)}, false},
		{"store's version", []structs.Event{HeadRead{Head{Number: 3}}, tree(3)}, true},
		{"older than the store's", []structs.Event{HeadRead{Head{Number: 3}}, tree(2)}, false},
		{"empty store", []structs.Event{HeadRead{}}, false},
		{"outage, no peers", []structs.Event{HeadReadFailed{}, tree(3)}, false},
		{"outage, one peer silent", []structs.Event{HeadReadFailed{}, peers, VersionAnnounced{"a", 3}, tree(3)}, false},
		{"outage, highest of the peers", []structs.Event{HeadReadFailed{}, peers, VersionAnnounced{"a", 2}, VersionAnnounced{"b", 3}, tree(3)}, true},
		{"outage, a peer has more", []structs.Event{HeadReadFailed{}, peers, VersionAnnounced{"a", 2}, VersionAnnounced{"b", 3}, tree(2)}, false},
		{"outage ends with a higher version", []structs.Event{HeadReadFailed{}, tree(2), HeadRead{Head{Number: 3}}}, false},
		{"once ready, stays ready", []structs.Event{HeadRead{Head{Number: 2}}, tree(2), HeadRead{Head{Number: 3}}}, true},
	}
	for _, c := range cases {
		f := NewFollower()
		got := f.reduceAll(c.events...)
		if f.Ready() != c.ready || strings.Contains(got, "became_ready") != c.ready {
			t.Errorf("%s: ready %v, effects %s", c.name, f.Ready(), got)
		}
	}
}

// Guards against applying versions after a gap or with a wrong hash, against
// going back to an older version, and against repeating a fetch from a source
// that failed.
func TestFollowing(t *testing.T) {
	versions, trees := versionChain(t, 60)
	f := NewFollower()
	f.reduceAll(PeersChanged{Reachable: []structs.InstanceID{"a", "b"}}, HeadRead{Head{Number: 1}},
		TreeReceived{Number: 1, Hash: versions[1].Hash, Tree: trees[1]})
	step := func(what, want string, number uint64, events ...structs.Event) {
		t.Helper()
		if got := f.reduceAll(events...); got != want || f.number != number {
			t.Errorf("%s: effects %q, version %d, want %q, %d", what, got, f.number, want, number)
		}
	}
	step("push", "in_force", 3, VersionsReceived{From: "a", Versions: versions[2:4]})
	step("repeated push", "", 3, VersionsReceived{From: "a", Versions: versions[1:3]})
	step("older tree", "", 3, TreeReceived{Number: 2, Hash: versions[2].Hash, Tree: trees[2]})
	step("announcement", "fetch_versions", 3, VersionAnnounced{"a", 4})
	step("failure without another source", "", 3, FetchFailed{"a"})
	step("another peer has it", "fetch_versions", 3, VersionAnnounced{"b", 4})
	step("versions", "in_force", 4, VersionsReceived{From: "b", Versions: versions[4:5]})
	step("gap", "fetch_versions fetch_tree", 4, VersionAnnounced{"a", 6}, VersionsReceived{From: "a", Versions: versions[6:7]})
	step("tree with a wrong hash", "", 4, TreeReceived{From: "a", Number: 6, Hash: "x", Tree: trees[6]})
	step("the store as the next source", "fetch_tree", 4, HeadRead{Head{Number: 6}})
	step("tree", "in_force", 6, TreeReceived{Number: 6, Hash: versions[6].Hash, Tree: trees[6]})
	bad := versions[7]
	bad.Hash = "x"
	step("difference with a wrong hash", "fetch_versions fetch_tree", 6, VersionAnnounced{"a", 7}, VersionsReceived{From: "a", Versions: []Version{bad}})
	step("tree 7", "in_force", 7, TreeReceived{Number: 7, Hash: versions[7].Hash, Tree: trees[7]})
	if kept, ok := f.VersionsAfter(7); !ok || len(kept) != 0 {
		t.Errorf("versions after the newest: %v, %v", kept, ok)
	}
	if _, ok := f.VersionsAfter(6); ok {
		t.Error("versions before a whole tree are offered")
	}
	step("after the tree", "in_force", 9, VersionsReceived{From: "a", Versions: versions[8:10]})
	if kept, ok := f.VersionsAfter(8); !ok || len(kept) != 1 || kept[0].Number != 9 {
		t.Errorf("versions after 8: %v, %v", kept, ok)
	}
	step("far behind", "fetch_tree", 9, VersionAnnounced{"a", 60})
}

// Guards against a fetch that is never repeated after its reply was lost, and
// against polling the head too often or not at all.
func TestPollAndTimeout(t *testing.T) {
	f := NewFollower()
	reads, fetches := 0, 0
	for second := range 30 {
		now := structs.Timestamp(time.Duration(second) * time.Second)
		for _, effect := range f.Reduce(now, Tick{}) {
			switch effect.(type) {
			case ReadHead:
				reads++
				f.Reduce(now, HeadRead{Head{Number: 5}})
			case FetchTree:
				fetches++
			}
		}
	}
	if reads != 10 || fetches < 8 {
		t.Errorf("%d reads and %d repeated fetches in 30 s", reads, fetches)
	}
}

// Guards against going back to an older version and against wrong hashes under
// random delivery. Every follower must reach the newest version.
func TestRandomDelivery(t *testing.T) {
	versions, trees := versionChain(t, 40)
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2))
		f := NewFollower()
		f.Reduce(0, PeersChanged{Reachable: []structs.InstanceID{"a", "b"}})
		highest := uint64(0)
		for i := range 300 {
			now := structs.Timestamp(time.Duration(i) * 500 * time.Millisecond)
			event := randomEvent(rng, versions, trees)
			if i > 250 {
				event = []structs.Event{Tick{}, HeadRead{Head{Number: 40}}}[i%2]
			}
			for _, effect := range f.Reduce(now, event) {
				_, fromStore := effect.(FetchTree)
				if i > 250 && fromStore {
					f.Reduce(now, TreeReceived{Number: 40, Hash: versions[40].Hash, Tree: trees[40]})
				}
				if _, ok := effect.(FetchVersions); ok && i > 250 {
					f.Reduce(now, VersionsReceived{Versions: versions[f.number+1:]})
				}
			}
			if f.number < highest || f.number > 0 && f.tree.Hash() != versions[f.number].Hash {
				t.Fatalf("seed %d: version %d after %d, or a wrong tree", seed, f.number, highest)
			}
			highest = f.number
		}
		if f.number != 40 || !f.Ready() {
			t.Fatalf("seed %d: ended at version %d", seed, f.number)
		}
	}
}

func randomEvent(rng *rand.Rand, versions []Version, trees []*Tree) structs.Event {
	n := 1 + rng.IntN(len(versions)-1)
	from := []structs.InstanceID{"a", "b", ""}[rng.IntN(3)]
	switch rng.IntN(7) {
	case 0:
		return VersionAnnounced{from, uint64(n)}
	case 1:
		return TreeReceived{Number: uint64(n), Hash: versions[n].Hash, Tree: trees[rng.IntN(2)*n]}
	case 2:
		return FetchFailed{from}
	case 3:
		return HeadRead{Head{Number: uint64(n)}}
	case 4:
		return HeadReadFailed{}
	case 5:
		return Tick{}
	}
	return VersionsReceived{From: from, Versions: versions[n:min(len(versions), n+1+rng.IntN(3))]}
}

// largeTree returns a tree with the given number of teams, each with the
// fields that a team typically overrides.
func largeTree(t testing.TB, teams int) *Tree {
	var text strings.Builder
	text.WriteString("apiVersion: mangodrum/v1\nkind: Settings\nclasses:\n" +
		"  - {name: urgent, urgency: urgent, weight: 600, floor: 0.3}\nbranches:\n  - path: /\n" +
		"    set: {quota: {guaranteed: {cpu: 100000, memory: 500TiB}}}\n")
	for i := range teams {
		fmt.Fprintf(&text, "  - path: /team-%d\n    set: {class: urgent, weight: %d, deadline: 6s, "+
			"quota: {guaranteed: {cpu: %d, memory: %dGiB}, borrow: {cpu: 50}}, requests: {concurrency: 64}}\n", i, 100+i, 20+i%9, 64+i%9)
	}
	return mustDecode(t, text.String())
}

// meanChangeBytes makes changes that each concern one field of one team. It
// returns the mean encoded size of a change and of the whole tree.
func meanChangeBytes(t testing.TB, tree *Tree, changes int) (difference, whole int) {
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range changes {
		team := fmt.Sprintf("/team-%d", rng.IntN(len(tree.Branches)-1))
		j, _ := tree.find(structs.TeamID(team))
		next, err := applyUnchecked(tree, []Change{{Path: team, Field: "weight",
			Old: fmt.Sprint(*tree.Branches[j].Overrides.Weight), New: fmt.Sprint(1000 + i)}})
		if err != nil {
			t.Fatal(err)
		}
		version := Version{Number: uint64(i + 1), Base: uint64(i), Author: "operator@example.org",
			Reason: "raise the weight of a team for the season", ChangeID: "0123456789abcdef", Hash: next.Hash(), Diff: Diff(tree, next)}
		difference += len(encodeRow(version))
		whole += len(next.Encode())
		tree = next
	}
	return difference / changes, whole / changes
}

// Guards against transferring whole trees for small changes. The budget for all
// control traffic of a node is 6 KB/s, and a node receives a change at most
// twice.
func TestBytesPerChange(t *testing.T) {
	const changesPerDay, secondsPerDay = 5800, 86400
	difference, whole := meanChangeBytes(t, largeTree(t, 390), 20)
	perSecond := 2 * difference * changesPerDay / secondsPerDay
	t.Logf("difference %d bytes, whole tree %d bytes, ratio %.4f, %d bytes/s per node at %d changes a day",
		difference, whole, float64(difference)/float64(whole), perSecond, changesPerDay)
	if difference*20 > whole {
		t.Errorf("a difference of %d bytes is more than a twentieth of the tree of %d bytes", difference, whole)
	}
	if perSecond > 600 { // a tenth of the budget of 6 KB/s
		t.Errorf("%d bytes/s per node", perSecond)
	}
}

// BenchmarkFollowChange measures applying one change to a tree of 390 teams.
func BenchmarkFollowChange(b *testing.B) {
	tree := largeTree(b, 390)
	next, err := applyUnchecked(tree, []Change{{Path: "/team-7", Field: "weight", Old: "107", New: "5"}})
	if err != nil {
		b.Fatal(err)
	}
	version := Version{Number: 2, Base: 1, Hash: next.Hash(), Diff: Diff(tree, next)}
	hash := tree.Hash()
	for b.Loop() {
		f := &Follower{number: 1, tree: tree, hash: hash,
			announced: map[structs.InstanceID]uint64{}, failed: map[structs.InstanceID]bool{}}
		f.Reduce(0, VersionsReceived{Versions: []Version{version}})
		if f.number != 2 {
			b.Fatal("the change was not applied")
		}
	}
}
