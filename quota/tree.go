package quota

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Limits is the quota of one team.
type Limits struct {
	Team               structs.TeamID
	Parent             structs.TeamID    // empty for a team directly under the root
	Guaranteed         structs.Resources // always available to the team, reclaimed from borrowers if needed
	BorrowLimit        structs.Resources // maximum usage above the guarantee
	UnlimitedBorrowing bool              // the team may borrow all idle capacity; BorrowLimit is ignored
	Weight             int64             // borrowers release capacity in descending order of their excess over the guarantee divided by Weight; at least 1
}

// Usage is the present usage of a team.
type Usage struct {
	Used       structs.Resources // including the teams below it
	Guaranteed structs.Resources // guarantee of the team, including the teams below it
	Borrowed   structs.Resources // usage of the team itself above the part of its guarantee that is not guaranteed to a team below it
}

// node is a team in the tree. Node 0 is the root, whose guarantee is the
// capacity.
type node struct {
	Limits
	parent       int // index in Tree.nodes; -1 for the root
	depth        int
	used         structs.Resources // including the teams below
	directUsed   structs.Resources // excluding the teams below
	ownGuarantee structs.Resources // part of the guarantee that is not guaranteed to a team below
}

// Tree accounts for the usage of all teams. It is not safe for concurrent use.
type Tree struct {
	nodes  []node
	byTeam map[structs.TeamID]int
}

// root is the index of the root node.
const root = 0

// New returns a tree of teams that share the given capacity. It fails if a team
// name is duplicate or empty, a quota is negative, a parent is missing, or the
// parents form a cycle.
func New(capacity structs.Resources, limits []Limits) (*Tree, error) {
	t := &Tree{byTeam: make(map[structs.TeamID]int, len(limits))}
	t.nodes = append(t.nodes, node{parent: -1})
	t.nodes[root].Guaranteed = capacity
	sorted := slices.Clone(limits)
	slices.SortFunc(sorted, func(a, b Limits) int { return cmp.Compare(a.Team, b.Team) })
	for _, l := range sorted {
		if _, duplicate := t.byTeam[l.Team]; duplicate || l.Team == "" {
			return nil, fmt.Errorf("duplicate or empty team name %q; give each team one entry with a name", l.Team)
		}
		if l.Guaranteed.IsNegative() || l.BorrowLimit.IsNegative() {
			return nil, fmt.Errorf("team %q has a negative quota; use 0 for none", l.Team)
		}
		l.Weight = max(l.Weight, 1)
		t.byTeam[l.Team] = len(t.nodes)
		t.nodes = append(t.nodes, node{Limits: l})
	}
	return t, t.linkParents()
}

// linkParents sets the parent and depth of every node and raises the
// guarantees.
func (t *Tree) linkParents() error {
	for i := 1; i < len(t.nodes); i++ {
		n := &t.nodes[i]
		if n.Parent == "" {
			n.parent = root
			continue
		}
		parent, ok := t.byTeam[n.Parent]
		if !ok {
			return fmt.Errorf("team %q has the undefined parent %q; define the parent", n.Team, n.Parent)
		}
		n.parent = parent
	}
	for i := 1; i < len(t.nodes); i++ {
		depth := 0
		for n := i; n != root; n = t.nodes[n].parent {
			depth++
			if depth > len(t.nodes) {
				return fmt.Errorf("the ancestors of team %q form a cycle; correct the parents", t.nodes[i].Team)
			}
		}
		t.nodes[i].depth = depth
	}
	t.raiseGuarantees()
	return nil
}

// raiseGuarantees makes the guarantee of every team at least the sum of those
// directly below it.
func (t *Tree) raiseGuarantees() {
	order := make([]int, 0, len(t.nodes))
	for i := 1; i < len(t.nodes); i++ {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int { return t.nodes[b].depth - t.nodes[a].depth })
	below := make([]structs.Resources, len(t.nodes))
	for _, i := range order {
		n := &t.nodes[i]
		n.Guaranteed = componentMax(n.Guaranteed, below[i])
		n.ownGuarantee = n.Guaranteed.Sub(below[i])
		below[n.parent] = below[n.parent].Add(n.Guaranteed)
	}
}

// SetCapacity changes the capacity that all teams share, for example when
// workers come or go. Usage is kept even where it exceeds the new capacity.
func (t *Tree) SetCapacity(capacity structs.Resources) { t.nodes[root].Guaranteed = capacity }

// Charge adds r to the usage of the team and of those above it. It returns
// false if the team is unknown.
func (t *Tree) Charge(team structs.TeamID, r structs.Resources) bool {
	i, ok := t.byTeam[team]
	if !ok {
		return false
	}
	t.nodes[i].directUsed = t.nodes[i].directUsed.Add(r)
	for ; i >= 0; i = t.nodes[i].parent {
		t.nodes[i].used = t.nodes[i].used.Add(r)
	}
	return true
}

// Discharge subtracts r from the usage of the team and of those above it. It
// returns false if the team is unknown.
func (t *Tree) Discharge(team structs.TeamID, r structs.Resources) bool {
	return t.Charge(team, structs.Resources{}.Sub(r))
}

// Usage returns the usage of the team, or false if the team is unknown.
func (t *Tree) Usage(team structs.TeamID) (Usage, bool) {
	i, ok := t.byTeam[team]
	if !ok {
		return Usage{}, false
	}
	return t.usageOf(i), true
}

// Total returns the usage of all teams. Guaranteed is the capacity, and Borrowed
// is the sum over the teams.
func (t *Tree) Total() Usage {
	total := Usage{Used: t.nodes[root].used, Guaranteed: t.nodes[root].Guaranteed}
	for i := 1; i < len(t.nodes); i++ {
		total.Borrowed = total.Borrowed.Add(t.usageOf(i).Borrowed)
	}
	return total
}

func (t *Tree) usageOf(i int) Usage {
	n := &t.nodes[i]
	return Usage{Used: n.used, Guaranteed: n.Guaranteed, Borrowed: nonNegative(n.directUsed.Sub(n.ownGuarantee))}
}

// excess returns the amount by which the node would exceed its guarantee plus
// borrow limit with r added.
func (n *node) excess(r structs.Resources) structs.Resources {
	if n.UnlimitedBorrowing {
		return structs.Resources{}
	}
	return nonNegative(n.used.Add(r).Sub(n.Guaranteed).Sub(n.BorrowLimit))
}

func componentMax(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func componentMin(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func nonNegative(r structs.Resources) structs.Resources { return componentMax(r, structs.Resources{}) }
