package scheduler

import (
	"github.com/mangodrum/mangodrum/quota"
	"github.com/mangodrum/mangodrum/structs"
)

// quotaLedger tracks what the teams use of their quotas in this shard.
type quotaLedger struct {
	limits map[structs.TeamID]TeamPolicy
	used   map[structs.TeamID]structs.Resources // without the usage of child teams
	tree   *quota.Tree
	unused *quota.Tree // the same limits without usage
	total  structs.Resources
}

func newLedger(p Policy) *quotaLedger {
	l := &quotaLedger{used: map[structs.TeamID]structs.Resources{}}
	l.configure(p.Teams)
	return l
}

// configure replaces the limits. A team whose parent has no entry is placed
// directly under the root, so that an invalid policy cannot stop the shard.
func (l *quotaLedger) configure(teams map[structs.TeamID]TeamPolicy) {
	limits := make([]quota.Limits, 0, len(teams))
	for id, t := range teams {
		if _, ok := teams[t.Parent]; !ok {
			t.Parent = ""
		}
		limits = append(limits, quota.Limits{
			Team: id, Parent: t.Parent, Guaranteed: t.Guaranteed, BorrowLimit: t.BorrowLimit, UnlimitedBorrowing: t.UnlimitedBorrowing, Weight: t.Weight,
		})
	}
	tree, err := quota.New(l.total, limits)
	if err != nil {
		for i := range limits {
			limits[i].Parent = "" // the parents form a cycle or a quota is negative
			limits[i].Guaranteed = componentMax(limits[i].Guaranteed, structs.Resources{})
			limits[i].BorrowLimit = componentMax(limits[i].BorrowLimit, structs.Resources{})
		}
		tree, _ = quota.New(l.total, limits)
	}
	l.limits = teams
	l.tree = tree
	l.unused, _ = quota.New(l.total, limits)
	for id, used := range l.used {
		l.tree.Charge(id, used)
	}
}

func (l *quotaLedger) setCapacity(total structs.Resources) {
	l.total = total
	l.tree.SetCapacity(total)
	l.unused.SetCapacity(total)
}

// limit returns what the team may use under its own quota, without regard to
// its parents.
func (l *quotaLedger) limit(id structs.TeamID) structs.Resources {
	t := l.limits[id]
	if t.UnlimitedBorrowing {
		return componentMax(l.total, t.Guaranteed)
	}
	return t.Guaranteed.Add(t.BorrowLimit)
}

// couldAdmit reports whether r is within the limits when nothing is used. A
// lack of fleet capacity does not count as exceeding them.
func (l *quotaLedger) couldAdmit(id structs.TeamID, r structs.Resources) bool {
	d := l.unused.Admit(id, r)
	return d.Verdict != quota.Refused || d.LimitingTeam == ""
}

// admits reports whether the team may use r in addition.
func (l *quotaLedger) admits(id structs.TeamID, r structs.Resources) bool {
	return l.tree.Admit(id, r).Verdict != quota.Refused
}

// lacksCapacity reports whether the capacity of the fleet, and no team's limit,
// refuses r in addition.
func (l *quotaLedger) lacksCapacity(id structs.TeamID, r structs.Resources) bool {
	d := l.tree.Admit(id, r)
	return d.Verdict == quota.Refused && d.LimitingTeam == ""
}

// reason explains in numbers why the team may not use r in addition.
func (l *quotaLedger) reason(id structs.TeamID, r structs.Resources) string {
	return l.tree.Admit(id, r).Reason()
}

// isBorrowing reports whether the team uses more than its guarantee.
func (l *quotaLedger) isBorrowing(id structs.TeamID) bool {
	u, ok := l.tree.Usage(id)
	return ok && !u.Borrowed.IsZero()
}

// isGuaranteed reports whether r in addition is within the team's guarantee.
func (l *quotaLedger) isGuaranteed(id structs.TeamID, r structs.Resources) bool {
	return l.tree.Admit(id, r).Verdict == quota.Guaranteed
}

func (l *quotaLedger) charge(id structs.TeamID, r structs.Resources) {
	l.used[id] = l.used[id].Add(r)
	l.tree.Charge(id, r)
}

func (l *quotaLedger) discharge(id structs.TeamID, r structs.Resources) {
	l.used[id] = l.used[id].Sub(r)
	l.tree.Discharge(id, r)
}
