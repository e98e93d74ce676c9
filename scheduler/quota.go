package scheduler

import (
	"github.com/mangodrum/mangodrum/quota"
	"github.com/mangodrum/mangodrum/structs"
)

// ledger is what teams use of their quota in this shard.
type ledger struct {
	limits map[structs.TeamID]TeamPolicy
	used   map[structs.TeamID]structs.Resources // by the team itself
	tree   *quota.Tree
	empty  *quota.Tree // the same limits without usage
	total  structs.Resources
}

func newLedger(p Policy) *ledger {
	l := &ledger{used: map[structs.TeamID]structs.Resources{}}
	l.configure(p.Teams)
	return l
}

// configure replaces the limits. A team whose parent has no entry counts as
// directly under the root, so that a wrong policy cannot stop the shard.
func (l *ledger) configure(teams map[structs.TeamID]TeamPolicy) {
	limits := make([]quota.Limits, 0, len(teams))
	for id, t := range teams {
		if _, ok := teams[t.Parent]; !ok {
			t.Parent = ""
		}
		limits = append(limits, quota.Limits{
			Team: id, Parent: t.Parent, Guaranteed: t.Guaranteed, Borrow: t.BorrowLimit, Unlimited: t.BorrowAll, Weight: t.Weight,
		})
	}
	tree, err := quota.New(l.total, limits)
	if err != nil {
		for i := range limits {
			limits[i].Parent = "" // the parents form a cycle or a quota is negative
			limits[i].Guaranteed = maxOf(limits[i].Guaranteed, structs.Resources{})
			limits[i].Borrow = maxOf(limits[i].Borrow, structs.Resources{})
		}
		tree, _ = quota.New(l.total, limits)
	}
	l.limits = teams
	l.tree = tree
	l.empty, _ = quota.New(l.total, limits)
	for id, used := range l.used {
		l.tree.Charge(id, used)
	}
}

func (l *ledger) setCapacity(total structs.Resources) {
	l.total = total
	l.tree.SetCapacity(total)
	l.empty.SetCapacity(total)
}

// limit returns what the team may use by its own quota.
func (l *ledger) limit(id structs.TeamID) structs.Resources {
	t := l.limits[id]
	if t.BorrowAll {
		return maxOf(l.total, t.Guaranteed)
	}
	return t.Guaranteed.Add(t.BorrowLimit)
}

// couldAdmit reports whether r is within the limits when nothing is used. What
// the fleet lacks is not a matter of quota.
func (l *ledger) couldAdmit(id structs.TeamID, r structs.Resources) bool {
	d := l.empty.Admit(id, r)
	return d.Verdict != quota.Refused || d.Limit == ""
}

// admits reports whether the team may use r in addition.
func (l *ledger) admits(id structs.TeamID, r structs.Resources) bool {
	return l.tree.Admit(id, r).Verdict != quota.Refused
}

// lacksCapacity reports whether the capacity of the fleet, and no team's limit,
// refuses r in addition.
func (l *ledger) lacksCapacity(id structs.TeamID, r structs.Resources) bool {
	d := l.tree.Admit(id, r)
	return d.Verdict == quota.Refused && d.Limit == ""
}

// reason explains in numbers why the team may not use r in addition.
func (l *ledger) reason(id structs.TeamID, r structs.Resources) string {
	return l.tree.Admit(id, r).Reason()
}

// isBorrowing reports whether the team uses more than its guarantee.
func (l *ledger) isBorrowing(id structs.TeamID) bool {
	u, ok := l.tree.Usage(id)
	return ok && !u.Borrowed.IsZero()
}

// isGuaranteed reports whether r in addition is within the team's guarantee.
func (l *ledger) isGuaranteed(id structs.TeamID, r structs.Resources) bool {
	return l.tree.Admit(id, r).Verdict == quota.Guaranteed
}

func (l *ledger) take(id structs.TeamID, r structs.Resources) {
	l.used[id] = l.used[id].Add(r)
	l.tree.Charge(id, r)
}

func (l *ledger) give(id structs.TeamID, r structs.Resources) {
	l.used[id] = l.used[id].Sub(r)
	l.tree.Discharge(id, r)
}
