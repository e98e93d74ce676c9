package settings

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

func newTestStore(table *standin.Store) *Store {
	clock := structs.Timestamp(0)
	return NewStore(table, table.Objects(),
		func() structs.Timestamp { clock++; return clock },
		func(context.Context, time.Duration) error { return nil })
}

// treeWithCost returns validTree with a different cross-region cost of /b.
func treeWithCost(t testing.TB, cost int) *Tree {
	return mustDecode(t, strings.Replace(validTree, "cross_region_cost_ms: 40", fmt.Sprintf("cross_region_cost_ms: %d", cost), 1))
}

// treeWithWeight returns validTree with a different weight of /b/x.
func treeWithWeight(t testing.TB, weight int) *Tree {
	return mustDecode(t, strings.Replace(validTree, "weight: 7", fmt.Sprintf("weight: %d", weight), 1))
}

func newCommit(base uint64, id string, tree *Tree) Commit {
	return Commit{Base: base, Author: "op-" + id, Reason: "test", ChangeID: id, Tree: tree}
}

func mustCommit(t testing.TB, s *Store, c Commit) Version {
	t.Helper()
	version, err := s.Commit(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// Guards against an operator who overwrites the change of another one, and
// against a conflict error that does not name that change. B commits after A has
// read the head and before A's transaction.
func TestTwoOperatorsRace(t *testing.T) {
	table := standin.NewStore()
	a, b := newTestStore(table), newTestStore(table)
	mustCommit(t, a, newCommit(0, "first", mustDecode(t, validTree)))
	raced := false
	table.Fault = func(op string) standin.Fault {
		if op == "commit" && !raced {
			raced = true
			mustCommit(t, b, newCommit(1, "b", treeWithCost(t, 55)))
		}
		return standin.Fault{}
	}
	_, err := a.Commit(context.Background(), newCommit(1, "a", treeWithWeight(t, 9)))
	if !errs.Is(err, errs.Conflict) || errs.RemedyOf(err) == "" {
		t.Fatalf("the second commit: %v", err)
	}
	if !strings.Contains(err.Error(), "version 2 by op-b: /b cross_region_cost_ms: 40 -> 55") {
		t.Errorf("the conflict does not name the change: %v", err)
	}
	_, err = a.Commit(context.Background(), newCommit(1, "c", treeWithWeight(t, 9)))
	if !errs.Is(err, errs.Conflict) || !strings.Contains(err.Error(), "40 -> 55") {
		t.Errorf("a commit on an old base: %v", err)
	}
	_, err = b.Commit(context.Background(), newCommit(2, "b", treeWithCost(t, 56)))
	if !errs.Is(err, errs.Conflict) || !strings.Contains(err.Error(), "belongs to version 2") {
		t.Errorf("a change identifier used twice: %v", err)
	}
	tree, err := a.Load(context.Background(), 2)
	if err != nil || tree.Hash() != treeWithCost(t, 55).Hash() {
		t.Errorf("version 2 is not B's: %v", err)
	}
}

// Guards against assuming the outcome after a lost reply: the change must be
// found by its identifier, and a repeat must not create a second version.
func TestLostReply(t *testing.T) {
	table := standin.NewStore()
	s := newTestStore(table)
	mustCommit(t, s, newCommit(0, "first", mustDecode(t, validTree)))
	down := false
	lose := 1
	table.Fault = func(op string) standin.Fault {
		if op == "commit" && lose > 0 {
			lose--
			return standin.Fault{LoseReply: true}
		}
		return standin.Fault{Unavailable: down && lose == 0}
	}
	version := mustCommit(t, s, newCommit(1, "x", treeWithCost(t, 55)))
	if version.Number != 2 || version.ChangeID != "x" {
		t.Fatalf("after a lost reply: %+v", version)
	}
	down, lose = true, 1 // the store becomes unavailable after a lost reply
	if _, err := s.Commit(context.Background(), newCommit(2, "y", treeWithCost(t, 56))); !errs.Is(err, errs.OutcomeUnknown) ||
		!strings.Contains(errs.RemedyOf(err), "y") {
		t.Fatalf("unknown outcome: %v", err)
	}
	down = false
	if again := mustCommit(t, s, newCommit(2, "y", treeWithCost(t, 56))); again.Number != 3 {
		t.Errorf("the repeat created version %d", again.Number)
	}
	if head, err := s.Head(context.Background()); err != nil || head.Number != 3 {
		t.Errorf("head %+v, %v", head, err)
	}
	down = true
	if _, err := s.Commit(context.Background(), newCommit(3, "z", treeWithCost(t, 57))); !errs.Is(err, errs.NotRun) {
		t.Errorf("store down: %v", err)
	}
}

// Guards against lost or duplicated changes under random faults: each change
// identifier creates at most one version, every acknowledged version exists, and
// all differences lead to the hash of their version.
func TestRandomCommits(t *testing.T) {
	trees := []*Tree{}
	for cost := range 20 {
		trees = append(trees, treeWithCost(t, 100+cost))
	}
	for seed := range uint64(80) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := standin.NewStore()
		table.Fault = func(string) standin.Fault {
			return standin.Fault{Unavailable: rng.IntN(5) == 0, LoseReply: rng.IntN(5) == 0}
		}
		stores := []*Store{newTestStore(table), newTestStore(table)}
		acknowledged := map[string]uint64{}
		for i := range 30 {
			s := stores[rng.IntN(2)]
			head, err := s.Head(context.Background())
			if err != nil {
				continue
			}
			base := head.Number - min(head.Number, uint64(rng.IntN(2)))
			id := fmt.Sprintf("c%d", i-rng.IntN(2)*min(i, 1)) // sometimes a repeat
			version, err := s.Commit(context.Background(), newCommit(base, id, trees[rng.IntN(len(trees))]))
			if err == nil && version.ChangeID == id {
				acknowledged[id] = version.Number
			}
		}
		table.Fault = nil
		checkVersions(t, seed, newTestStore(table), acknowledged)
	}
}

func checkVersions(t *testing.T, seed uint64, s *Store, acknowledged map[string]uint64) {
	t.Helper()
	versions, err := s.Versions(context.Background(), 0, 1000)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]uint64{}
	var tree *Tree
	for i, version := range versions {
		if version.Number != uint64(i+1) || seen[version.ChangeID] != 0 {
			t.Fatalf("seed %d: version %d of change %s is duplicated or out of order", seed, version.Number, version.ChangeID)
		}
		seen[version.ChangeID] = version.Number
		if tree, err = Apply(tree, version.Diff); err != nil || tree.Hash() != version.Hash {
			t.Fatalf("seed %d: version %d: %v", seed, version.Number, err)
		}
	}
	for id, number := range acknowledged {
		if seen[id] != number {
			t.Fatalf("seed %d: change %s was acknowledged as version %d, found as %d", seed, id, number, seen[id])
		}
	}
	if head, err := s.Head(context.Background()); err != nil || head.Number != uint64(len(versions)) {
		t.Fatalf("seed %d: head %d of %d versions, %v", seed, head.Number, len(versions), err)
	}
}

// Guards against a load that replays the whole history, trusts a corrupt copy or
// fails without the object store.
func TestLoadUsesCopies(t *testing.T) {
	ctx := context.Background()
	table := standin.NewStore()
	s := newTestStore(table)
	for i := range 250 {
		mustCommit(t, s, newCommit(uint64(i), fmt.Sprint("c", i), treeWithCost(t, 100+i)))
	}
	load := func(want int) (reads uint64) {
		t.Helper()
		_, before := table.Counts()
		tree, err := newTestStore(table).Load(ctx, uint64(want))
		if err != nil || tree.Hash() != treeWithCost(t, 99+want).Hash() {
			t.Fatalf("load version %d: %v", want, err)
		}
		_, after := table.Counts()
		return after - before
	}
	if reads := load(250); reads > 5 {
		t.Errorf("%d reads for a load", reads)
	}
	load(7)
	load(100)
	if err := table.Objects().Put(ctx, CopyName(200), []byte("{}")); err != nil {
		t.Fatal(err)
	}
	load(250) // uses the copy of version 100 and replaces that of version 200
	data, err := table.Objects().Get(ctx, CopyName(200))
	if err != nil || len(data) < 100 {
		t.Errorf("the copy was not replaced: %q, %v", data, err)
	}
	table.Fault = func(op string) standin.Fault { return standin.Fault{Unavailable: op == "list" || op == "put"} }
	load(250)
}

// Guards against a rollback that rewrites the history, and against a history in
// the wrong order.
func TestRollbackIsANewVersion(t *testing.T) {
	s := newTestStore(standin.NewStore())
	for i := range 3 {
		mustCommit(t, s, newCommit(uint64(i), fmt.Sprint("c", i), treeWithCost(t, 100+i)))
	}
	version, err := s.Rollback(context.Background(), 1, newCommit(3, "back", nil))
	if err != nil || version.Number != 4 || version.Hash != treeWithCost(t, 100).Hash() {
		t.Fatalf("rollback: %+v, %v", version, err)
	}
	history, err := s.History(context.Background(), 0, 2)
	if err != nil || len(history) != 2 || history[0].Number != 4 || history[1].Number != 3 {
		t.Errorf("history %v, %v", history, err)
	}
	older, err := s.History(context.Background(), 3, 10)
	if err != nil || len(older) != 2 || older[0].Number != 2 {
		t.Errorf("older history %v, %v", older, err)
	}
	same, err := s.Commit(context.Background(), newCommit(4, "same", treeWithCost(t, 100)))
	if err != nil || same.Number != 4 {
		t.Errorf("a change without differences made version %d, %v", same.Number, err)
	}
}
