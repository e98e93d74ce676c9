package quota

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Limits is the quota of one team.
type Limits struct {
	Team       structs.TeamID
	Parent     structs.TeamID    // empty for a team directly under the root
	Guaranteed structs.Resources // available whenever the team wants it
	Borrow     structs.Resources // most that the team may use above its guarantee
	Unlimited  bool              // the team may borrow whatever is idle; Borrow is ignored
	Weight     int64             // a team of twice the weight may be twice as far over before it gives back first; at least 1
}

// Usage is what a team uses now.
type Usage struct {
	Used       structs.Resources // with the teams below it
	Guaranteed structs.Resources // to the team and those below it
	Borrowed   structs.Resources // by the team itself, above the guarantee that no team below it has a claim on
}

// node is a team in the tree. Node 0 is the root, whose guarantee is the
// capacity.
type node struct {
	Limits
	parent int // index; -1 for the root
	depth  int
	used   structs.Resources // with the teams below
	direct structs.Resources // without them
	own    structs.Resources // guarantee that no team below has a claim on
}

// Tree accounts for the usage of all teams. It is not safe for concurrent use.
type Tree struct {
	nodes  []node
	byTeam map[structs.TeamID]int
}

const root = 0

// New returns a tree of the teams over the given capacity. It fails if a team
// is named twice, a parent is missing, or the parents form a cycle.
func New(capacity structs.Resources, limits []Limits) (*Tree, error) {
	t := &Tree{byTeam: make(map[structs.TeamID]int, len(limits))}
	t.nodes = append(t.nodes, node{parent: -1})
	t.nodes[root].Guaranteed = capacity
	sorted := slices.Clone(limits)
	slices.SortFunc(sorted, func(a, b Limits) int { return cmp.Compare(a.Team, b.Team) })
	for _, l := range sorted {
		if _, twice := t.byTeam[l.Team]; twice || l.Team == "" {
			return nil, fmt.Errorf("team %q is named twice or has no name; give each team one entry", l.Team)
		}
		if l.Guaranteed.IsNegative() || l.Borrow.IsNegative() {
			return nil, fmt.Errorf("team %q has a negative quota; use 0 for none", l.Team)
		}
		l.Weight = max(l.Weight, 1)
		t.byTeam[l.Team] = len(t.nodes)
		t.nodes = append(t.nodes, node{Limits: l})
	}
	return t, t.connect()
}

func (t *Tree) connect() error {
	for i := 1; i < len(t.nodes); i++ {
		n := &t.nodes[i]
		if n.Parent == "" {
			n.parent = root
			continue
		}
		parent, ok := t.byTeam[n.Parent]
		if !ok {
			return fmt.Errorf("team %q names the parent %q, which has no entry; add it", n.Team, n.Parent)
		}
		n.parent = parent
	}
	for i := 1; i < len(t.nodes); i++ {
		depth := 0
		for n := i; n != root; n = t.nodes[n].parent {
			depth++
			if depth > len(t.nodes) {
				return fmt.Errorf("team %q is its own ancestor; correct its parent", t.nodes[i].Team)
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
		n.Guaranteed = maxOf(n.Guaranteed, below[i])
		n.own = n.Guaranteed.Sub(below[i])
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
	t.nodes[i].direct = t.nodes[i].direct.Add(r)
	for ; i >= 0; i = t.nodes[i].parent {
		t.nodes[i].used = t.nodes[i].used.Add(r)
	}
	return true
}

// Discharge takes back what Charge added.
func (t *Tree) Discharge(team structs.TeamID, r structs.Resources) bool {
	return t.Charge(team, structs.Resources{}.Sub(r))
}

// Usage returns what the team uses, or false if it is unknown.
func (t *Tree) Usage(team structs.TeamID) (Usage, bool) {
	i, ok := t.byTeam[team]
	if !ok {
		return Usage{}, false
	}
	return t.usageOf(i), true
}

// Total returns the usage of all teams; its guarantee is the capacity and
// Borrowed is the sum over the teams.
func (t *Tree) Total() Usage {
	total := Usage{Used: t.nodes[root].used, Guaranteed: t.nodes[root].Guaranteed}
	for i := 1; i < len(t.nodes); i++ {
		total.Borrowed = total.Borrowed.Add(t.usageOf(i).Borrowed)
	}
	return total
}

func (t *Tree) usageOf(i int) Usage {
	n := &t.nodes[i]
	return Usage{Used: n.used, Guaranteed: n.Guaranteed, Borrowed: positive(n.direct.Sub(n.own))}
}

// excess returns by how much the node exceeds its upper limit with r added.
func (n *node) excess(r structs.Resources) structs.Resources {
	if n.Unlimited {
		return structs.Resources{}
	}
	return positive(n.used.Add(r).Sub(n.Guaranteed).Sub(n.Borrow))
}

func maxOf(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func minOf(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func positive(r structs.Resources) structs.Resources { return maxOf(r, structs.Resources{}) }
