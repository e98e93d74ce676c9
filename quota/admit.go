package quota

import (
	"fmt"

	"github.com/mangodrum/mangodrum/structs"
)

// Verdict is the outcome of Admit.
type Verdict string

// Verdicts.
const (
	Guaranteed Verdict = "guaranteed" // within the team's guarantee
	Borrowed   Verdict = "borrowed"   // above the guarantee, from idle capacity
	Refused    Verdict = "refused"
)

// Decision says whether a team may use more resources and, if not, which limit
// prevents it.
type Decision struct {
	Verdict Verdict
	// Shortfall is the amount that borrowers must release before a guaranteed
	// task can be charged; see Reclaim. It is zero if Verdict is Borrowed.
	Shortfall structs.Resources
	// LimitingTeam is the team whose limit refuses the task. It is empty if the
	// capacity of the tree refuses it.
	LimitingTeam structs.TeamID
	Used         structs.Resources // usage of LimitingTeam before the task
	UpperLimit   structs.Resources // upper limit of LimitingTeam
	Excess       structs.Resources // amount by which the task would exceed UpperLimit

	team    structs.TeamID
	unknown bool
}

// Reason explains a refusal or a shortfall in numbers, or is empty.
func (d Decision) Reason() string {
	switch {
	case d.unknown:
		return fmt.Sprintf("team %q has no quota; add it to the settings", d.team)
	case d.Verdict == Refused && d.LimitingTeam == "":
		return fmt.Sprintf("borrowing for team %q needs %s more than is idle: %s of %s are in use", d.team, d.Excess, d.Used, d.UpperLimit)
	case d.Verdict == Refused:
		return fmt.Sprintf("team %q would exceed its guarantee and borrow limit by %s: it uses %s of %s", d.LimitingTeam, d.Excess, d.Used, d.UpperLimit)
	case !d.Shortfall.IsZero():
		return fmt.Sprintf("waiting for borrowers to release %s", d.Shortfall)
	}
	return ""
}

// Admit decides whether the team may use r in addition to its present usage.
// It charges nothing and allocates no memory.
//
// A request within the team's own guarantee is Guaranteed. Any other is
// Borrowed if no limit from the team to the root is exceeded and the capacity
// has enough left, and Refused otherwise.
func (t *Tree) Admit(team structs.TeamID, r structs.Resources) Decision {
	i, ok := t.byTeam[team]
	if !ok {
		return Decision{Verdict: Refused, team: team, unknown: true}
	}
	if t.withinGuarantee(i, r) {
		return Decision{Verdict: Guaranteed, Shortfall: t.shortfall(i, r), team: team}
	}
	for n := i; n >= 0; n = t.nodes[n].parent {
		excess := onlyRequested(t.nodes[n].excess(r), r)
		if !excess.IsZero() {
			return t.refusal(team, n, excess)
		}
	}
	return Decision{Verdict: Borrowed, team: team}
}

// onlyRequested returns amount without the resources that r does not request.
// A limit that is exceeded in one resource does not refuse a task that needs
// only others.
func onlyRequested(amount, r structs.Resources) structs.Resources {
	if r.MilliCPU <= 0 {
		amount.MilliCPU = 0
	}
	if r.MemoryBytes <= 0 {
		amount.MemoryBytes = 0
	}
	if r.Accelerators <= 0 {
		amount.Accelerators = 0
	}
	return amount
}

// withinGuarantee reports whether the team stays within its own guarantee with
// r added. It compares only the resources that r requests, so a team that
// borrows CPU keeps its guarantee of memory.
func (t *Tree) withinGuarantee(i int, r structs.Resources) bool {
	over := nonNegative(t.nodes[i].directUsed.Add(r).Sub(t.nodes[i].ownGuarantee))
	return onlyRequested(over, r).IsZero()
}

// shortfall returns, for each requested resource, the largest excess over a
// limit from the team up to the root.
func (t *Tree) shortfall(i int, r structs.Resources) structs.Resources {
	var most structs.Resources
	for n := i; n >= 0; n = t.nodes[n].parent {
		most = componentMax(most, onlyRequested(t.nodes[n].excess(r), r))
	}
	return most
}

func (t *Tree) refusal(team structs.TeamID, n int, excess structs.Resources) Decision {
	limit := &t.nodes[n]
	return Decision{
		Verdict:      Refused,
		LimitingTeam: limit.Team,
		Used:         limit.used,
		UpperLimit:   limit.Guaranteed.Add(limit.BorrowLimit),
		Excess:       excess,
		team:         team,
	}
}
