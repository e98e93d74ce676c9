package quota

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Victim is a borrower that must release capacity.
type Victim struct {
	Team   structs.TeamID
	Amount structs.Resources // at most the usage of the team above its guarantee
}

// Reclaim returns which borrowers must release how much, and in which order, so
// that the team can use r within its guarantee. The borrower with the largest
// excess over its guarantee relative to its weight comes first. The result is
// empty if nothing needs to be released. It covers less than the shortfall if
// the borrowers have not borrowed enough.
func (t *Tree) Reclaim(team structs.TeamID, r structs.Resources) []Victim {
	i, ok := t.byTeam[team]
	if !ok {
		return nil
	}
	c := reclaim{
		Tree:      t,
		requester: i,
		freed:     make([]structs.Resources, len(t.nodes)),
		taken:     make([]structs.Resources, len(t.nodes)),
	}
	need := t.shortfall(i, r)
	if need.IsZero() {
		return nil
	}
	c.orderBorrowers(need)
	for n := i; n >= 0; n = t.nodes[n].parent {
		c.coverExcess(n, onlyRequested(t.nodes[n].excess(r), r))
	}
	return c.victims()
}

// reclaim is the state of one call of Reclaim.
type reclaim struct {
	*Tree
	// requester is the node of the team that needs capacity.
	requester   int
	borrowers   []borrower          // largest weighted excess first
	freed       []structs.Resources // by node: released by the team and those below it
	taken       []structs.Resources // by node: released by the team itself
	victimOrder []int               // nodes that release capacity, in the order of their first part
}

// borrower is a team that uses more than its own guarantee.
type borrower struct {
	node           int
	weightedExcess int64 // excess over the guarantee as a share of the capacity, divided by the weight
}

// orderBorrowers lists the teams that exceed their guarantee in a needed
// resource, the largest weighted excess first.
func (c *reclaim) orderBorrowers(need structs.Resources) {
	for i := 1; i < len(c.nodes); i++ {
		n := &c.nodes[i]
		over := onlyRequested(nonNegative(n.directUsed.Sub(n.ownGuarantee)), need)
		if i != c.requester && !over.IsZero() {
			weightedExcess := over.DominantShare(c.nodes[root].Guaranteed) / n.Weight
			c.borrowers = append(c.borrowers, borrower{i, weightedExcess})
		}
	}
	slices.SortStableFunc(c.borrowers, func(a, b borrower) int { return cmp.Compare(b.weightedExcess, a.weightedExcess) })
}

// coverExcess takes capacity from borrowers at or below limitNode until the
// excess over the limit of that node is covered.
func (c *reclaim) coverExcess(limitNode int, excess structs.Resources) {
	for _, b := range c.borrowers {
		need := nonNegative(excess.Sub(c.freed[limitNode]))
		if need.IsZero() {
			return
		}
		if !c.isAncestor(limitNode, b.node) {
			continue
		}
		if amount := componentMin(c.reclaimable(b.node), need); !amount.IsZero() {
			c.take(b.node, amount)
		}
	}
}

// reclaimable returns the amount that node i can release to the requester: the
// smallest excess over a guarantee on the path from the node up to the common
// ancestor. Usage within a guarantee that the requester does not share is never
// reclaimed.
func (c *reclaim) reclaimable(i int) structs.Resources {
	amount := nonNegative(c.nodes[i].directUsed.Sub(c.taken[i]).Sub(c.nodes[i].ownGuarantee))
	for n := i; n != root && !c.isAncestor(n, c.requester); n = c.nodes[n].parent {
		amount = componentMin(amount, nonNegative(c.nodes[n].used.Sub(c.freed[n]).Sub(c.nodes[n].Guaranteed)))
	}
	return amount
}

// take records that node i releases amount.
func (c *reclaim) take(i int, amount structs.Resources) {
	if c.taken[i].IsZero() {
		c.victimOrder = append(c.victimOrder, i)
	}
	c.taken[i] = c.taken[i].Add(amount)
	for n := i; n >= 0; n = c.nodes[n].parent {
		c.freed[n] = c.freed[n].Add(amount)
	}
}

func (c *reclaim) victims() []Victim {
	list := make([]Victim, 0, len(c.victimOrder))
	for _, i := range c.victimOrder {
		list = append(list, Victim{Team: c.nodes[i].Team, Amount: c.taken[i]})
	}
	return list
}

// isAncestor reports whether node a is node i or one of its ancestors.
func (c *reclaim) isAncestor(a, i int) bool {
	for ; i >= 0; i = c.nodes[i].parent {
		if i == a {
			return true
		}
	}
	return false
}
