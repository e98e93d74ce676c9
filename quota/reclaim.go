package quota

import "github.com/mangodrum/mangodrum/structs"

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
	c := reclaim{Tree: t, claimant: i, freed: make([]structs.Resources, len(t.nodes))}
	for n := i; n >= 0; n = t.nodes[n].parent {
		c.cover(n, onlyWhere(t.nodes[n].excess(r), r))
	}
	return c.victims
}

// reclaim is the state of one Reclaim.
type reclaim struct {
	*Tree
	claimant int
	freed    []structs.Resources // by node, with the teams below
	victims  []Victim
}

// cover takes from borrowers below limit until the excess over limit is gone.
func (c *reclaim) cover(limit int, excess structs.Resources) {
	for {
		need := positive(excess.Sub(c.freed[limit]))
		if need.IsZero() {
			return
		}
		victim, amount := c.mostOver(limit, need)
		if amount.IsZero() {
			return
		}
		c.take(victim, amount)
	}
}

// mostOver returns the borrower at or below limit that gives back first, and how
// much of need it can give.
func (c *reclaim) mostOver(limit int, need structs.Resources) (victim int, amount structs.Resources) {
	var most int64
	for i := 1; i < len(c.nodes); i++ {
		over, ok := c.over(i, limit)
		give := minOf(over, need)
		if !ok || give.IsZero() {
			continue
		}
		share := onlyWhere(over, need).DominantShare(c.nodes[root].Guaranteed)
		relative := share / c.nodes[i].Weight
		if amount.IsZero() || relative > most {
			victim, amount, most = i, give, relative
		}
	}
	return victim, amount
}

// over returns what team i can give back to the claimant: the least excess
// over a guarantee from the team up to the common ancestor, which must be
// limit or below it. Usage within a guarantee that the claimant does not
// share is never taken.
func (c *reclaim) over(i, limit int) (structs.Resources, bool) {
	if i == c.claimant || !c.isAncestor(limit, i) {
		return structs.Resources{}, false
	}
	amount := positive(c.nodes[i].direct.Sub(c.freedBy(i)).Sub(c.nodes[i].own))
	for n := i; n != root && !c.isAncestor(n, c.claimant); n = c.nodes[n].parent {
		amount = minOf(amount, positive(c.nodes[n].used.Sub(c.freed[n]).Sub(c.nodes[n].Guaranteed)))
	}
	return amount, true
}

// freedBy returns what the team itself already gives.
func (c *reclaim) freedBy(i int) structs.Resources {
	for _, v := range c.victims {
		if v.Team == c.nodes[i].Team {
			return v.Amount
		}
	}
	return structs.Resources{}
}

func (c *reclaim) take(i int, amount structs.Resources) {
	for n := i; n >= 0; n = c.nodes[n].parent {
		c.freed[n] = c.freed[n].Add(amount)
	}
	for k := range c.victims {
		if c.victims[k].Team == c.nodes[i].Team {
			c.victims[k].Amount = c.victims[k].Amount.Add(amount)
			return
		}
	}
	c.victims = append(c.victims, Victim{Team: c.nodes[i].Team, Amount: amount})
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
