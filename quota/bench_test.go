package quota

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkAdmit measures an admission with its charge and discharge in a tree
// of 390 teams.
func BenchmarkAdmit(b *testing.B) {
	tree := randomTree(rand.New(rand.NewPCG(1, 1)))
	b.ReportAllocs()
	for i := range b.N {
		team := tree.nodes[1+i%(len(tree.nodes)-1)].Team
		if tree.Admit(team, cores(1)).Verdict != Refused {
			tree.Charge(team, cores(1))
			tree.Discharge(team, cores(1))
		}
	}
}

// BenchmarkReclaim measures a reclaim while all other teams borrow.
func BenchmarkReclaim(b *testing.B) {
	tree := randomTree(rand.New(rand.NewPCG(1, 1)))
	for i := 2; i < len(tree.nodes); i++ {
		tree.Charge(tree.nodes[i].Team, tree.nodes[i].ownGuarantee.Add(cores(5)))
	}
	team := tree.nodes[1].Team
	for range b.N {
		tree.Reclaim(team, cores(1000))
	}
}
