package quota

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// Victim is a borrower that gives capacity back.
type Victim struct {
	Team   structs.TeamID
	Amount structs.Resources // at most what the team uses above its guarantee
}

// Reclaim returns which teams give back how much so that the team can use r
// within its guarantee, in the order in which they do. The team that is most
// over its guarantee relative to its weight comes first. The result is empty
// if nothing needs to be given back; it covers less than the shortfall if the
// borrowers do not hold enough.
func (t *Tree) Reclaim(team structs.TeamID, r structs.Resources) []Victim {
	i, ok := t.byTeam[team]
	if !ok {
		return nil
	}
	c := reclaim{
		Tree:     t,
		claimant: i,
		freed:    make([]structs.Resources, len(t.nodes)),
		given:    make([]structs.Resources, len(t.nodes)),
	}
	need := t.shortfall(i, r)
	if need.IsZero() {
		return nil
	}
	c.orderBorrowers(need)
	for n := i; n >= 0; n = t.nodes[n].parent {
		c.cover(n, onlyWhere(t.nodes[n].excess(r), r))
	}
	return c.victims()
}

// reclaim is the state of one Reclaim.
type reclaim struct {
	*Tree
	claimant  int
	borrowers []borrower          // in the order in which they give back
	freed     []structs.Resources // by node, with the teams below
	given     []structs.Resources // by node, without them
	order     []int               // nodes that give, in the order of their first part
}

// borrower is a team that uses more than its own guarantee.
type borrower struct {
	node     int
	relative int64 // part of the capacity above the guarantee, by weight
}

// orderBorrowers sorts the teams that are over their guarantee in a needed
// resource, the most over relative to weight first.
func (c *reclaim) orderBorrowers(need structs.Resources) {
	for i := 1; i < len(c.nodes); i++ {
		n := &c.nodes[i]
		over := onlyWhere(positive(n.direct.Sub(n.own)), need)
		if i != c.claimant && !over.IsZero() {
			relative := over.DominantShare(c.nodes[root].Guaranteed) / n.Weight
			c.borrowers = append(c.borrowers, borrower{i, relative})
		}
	}
	slices.SortStableFunc(c.borrowers, func(a, b borrower) int { return cmp.Compare(b.relative, a.relative) })
}

// cover takes from borrowers at or below limit until the excess over limit is
// gone.
func (c *reclaim) cover(limit int, excess structs.Resources) {
	for _, b := range c.borrowers {
		need := positive(excess.Sub(c.freed[limit]))
		if need.IsZero() {
			return
		}
		if !c.isAncestor(limit, b.node) {
			continue
		}
		if amount := minOf(c.over(b.node), need); !amount.IsZero() {
			c.take(b.node, amount)
		}
	}
}

// over returns what team i can give back to the claimant: the least excess
// over a guarantee from the team up to the common ancestor. Usage within a
// guarantee that the claimant does not share is never taken.
func (c *reclaim) over(i int) structs.Resources {
	amount := positive(c.nodes[i].direct.Sub(c.given[i]).Sub(c.nodes[i].own))
	for n := i; n != root && !c.isAncestor(n, c.claimant); n = c.nodes[n].parent {
		amount = minOf(amount, positive(c.nodes[n].used.Sub(c.freed[n]).Sub(c.nodes[n].Guaranteed)))
	}
	return amount
}

func (c *reclaim) take(i int, amount structs.Resources) {
	if c.given[i].IsZero() {
		c.order = append(c.order, i)
	}
	c.given[i] = c.given[i].Add(amount)
	for n := i; n >= 0; n = c.nodes[n].parent {
		c.freed[n] = c.freed[n].Add(amount)
	}
}

func (c *reclaim) victims() []Victim {
	list := make([]Victim, 0, len(c.order))
	for _, i := range c.order {
		list = append(list, Victim{Team: c.nodes[i].Team, Amount: c.given[i]})
	}
	return list
}

// isAncestor reports whether a is i or above it.
func (c *reclaim) isAncestor(a, i int) bool {
	for ; i >= 0; i = c.nodes[i].parent {
		if i == a {
			return true
		}
	}
	return false
}
