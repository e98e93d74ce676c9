package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// buildTree builds a valid tree. Each number determines one branch; zero omits it.
func buildTree(numbers []int) *Tree {
	var text strings.Builder
	text.WriteString("apiVersion: mangodrum/v1\nkind: Settings\nclasses:\n  - {name: a, urgency: urgent, weight: 1}\n")
	text.WriteString("branches:\n  - {path: /, set: {quota: {guaranteed: {cpu: 100000}}}}\n")
	for i, n := range numbers {
		if n == 0 {
			continue
		}
		fmt.Fprintf(&text, "  - {path: /t%d, set: {weight: %d, deadline: %dms, quota: {guaranteed: {cpu: %d}}}}\n", i, n, n, n)
		if n%3 == 0 {
			fmt.Fprintf(&text, "  - {path: /t%d/u, set: {retry: {budget: 0.%d}, placement: {spread: %v}}}\n", i, n, n%2 == 0)
		}
	}
	tree, err := Decode("property", []byte(text.String()))
	if err != nil {
		panic(err)
	}
	return tree
}

// Guards against trees for which Diff, Apply or the hash miss a change, for which
// the reverse diff does not restore the original, or for which ImpactOf misses a
// team or includes an unaffected one.
func TestDiffProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(42)
	properties := gopter.NewProperties(parameters)
	trees := gen.SliceOfN(8, gen.IntRange(0, 9))
	properties.Property("Apply(a, Diff(a, b)) is b, and back", prop.ForAll(func(x, y []int) bool {
		a, b := buildTree(x), buildTree(y)
		forward, err := Apply(a, Diff(a, b))
		if err != nil || forward.Hash() != b.Hash() {
			return false
		}
		back, err := Apply(forward, Diff(b, a))
		return err == nil && back.Hash() == a.Hash()
	}, trees, trees))
	properties.Property("equal hashes mean no difference", prop.ForAll(func(x, y []int) bool {
		a, b := buildTree(x), buildTree(y)
		return (a.Hash() == b.Hash()) == (len(Diff(a, b)) == 0)
	}, trees, trees))
	properties.Property("a change affects exactly the teams whose resolved settings differ", prop.ForAll(func(x, y []int) bool {
		a, b := buildTree(x), buildTree(y)
		affected := map[string]bool{}
		for _, team := range ImpactOf(a, b, nil).Teams {
			affected[string(team.Team)] = true
		}
		for _, team := range allTeams(a, b) {
			before, errBefore := a.Resolve(team)
			after, errAfter := b.Resolve(team)
			if differs := before != after || (errBefore == nil) != (errAfter == nil); differs != affected[string(team)] {
				return false
			}
		}
		return true
	}, trees, trees))
	properties.TestingRun(t)
}

// BenchmarkImpact measures ImpactOf for two trees of 390 teams.
func BenchmarkImpact(b *testing.B) {
	old := largeTree(b, 390)
	next, err := applyUnchecked(old, []Change{{Path: "/team-7", Field: "weight", Old: "107", New: "5"}})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if len(ImpactOf(old, next, nil).Teams) != 1 {
			b.Fatal("wrong impact")
		}
	}
}

// BenchmarkResolve measures resolving one team in a tree of 390 teams.
func BenchmarkResolve(b *testing.B) {
	tree := largeTree(b, 390)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.Resolve("/team-77"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecode measures decoding a tree of 390 teams.
func BenchmarkDecode(b *testing.B) {
	data := largeTree(b, 390).Encode()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := Decode("b", data); err != nil {
			b.Fatal(err)
		}
	}
}
