package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/mangodrum/mangodrum/structs"
)

func cores(n int64) structs.Resources { return structs.Resources{MilliCPU: n * 1000} }

// testTree returns a tree with a capacity of 100 cores. /a has a guarantee of
// 40, its children /a/x and /a/y of 20 each, /b of 20 and /c of 10.
func testTree(t *testing.T) *Tree {
	t.Helper()
	tree, err := New(cores(100), []Limits{
		{Team: "/a", Guaranteed: cores(40), BorrowLimit: cores(30)},
		{Team: "/a/x", Parent: "/a", Guaranteed: cores(20), BorrowLimit: cores(60)},
		{Team: "/a/y", Parent: "/a", Guaranteed: cores(20)},
		{Team: "/b", Guaranteed: cores(20), BorrowLimit: cores(50), Weight: 2},
		{Team: "/c", Guaranteed: cores(10), UnlimitedBorrowing: true},
	})
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

type charge struct {
	team structs.TeamID
	n    int64
}

// Guards against a team that exceeds a limit, is refused within its guarantee,
// or borrows capacity that is not idle.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name      string
		charges   []charge
		team      structs.TeamID
		n         int64
		want      Verdict
		limit     structs.TeamID
		shortfall int64
	}{
		{"within the guarantee", nil, "/a/y", 20, Guaranteed, "", 0},
		{"above the guarantee without a borrow limit", nil, "/a/y", 21, Refused, "/a/y", 0},
		{"borrows from its sibling", nil, "/a/x", 40, Borrowed, "", 0},
		{"limit of the parent", nil, "/a/x", 71, Refused, "/a", 0},
		{"borrow limit of the team itself", nil, "/b", 71, Refused, "/b", 0},
		{"unlimited borrowing ends at the capacity", nil, "/c", 101, Refused, "", 0},
		{"nothing idle to borrow", []charge{{"/c", 95}}, "/b", 21, Refused, "", 0},
		{"guaranteed while borrowers use the capacity", []charge{{"/c", 95}}, "/b", 20, Guaranteed, "", 15},
		{"guaranteed while a sibling uses up the parent's limit", []charge{{"/a/x", 65}}, "/a/y", 20, Guaranteed, "", 15},
		{"unknown team", nil, "/z", 1, Refused, "", 0},
	}
	for _, c := range cases {
		tree := testTree(t)
		for _, ch := range c.charges {
			tree.Charge(ch.team, cores(ch.n))
		}
		d := tree.Admit(c.team, cores(c.n))
		if d.Verdict != c.want || d.LimitingTeam != c.limit || d.Shortfall != cores(c.shortfall) {
			t.Errorf("%s: Admit = %s, limit %q, shortfall %s", c.name, d.Verdict, d.LimitingTeam, d.Shortfall)
		}
		if (d.Verdict == Refused) != (d.Reason() != "") && c.shortfall == 0 {
			t.Errorf("%s: verdict %s with reason %q", c.name, d.Verdict, d.Reason())
		}
	}
}

// Guards against reclaiming guaranteed capacity, against any order of victims
// other than by usage above the guarantee relative to weight, and against
// reclaiming too little or too much.
func TestReclaim(t *testing.T) {
	cases := []struct {
		name    string
		charges []charge
		team    structs.TeamID
		n       int64
		want    []Victim
	}{
		{"nothing needed", []charge{{"/b", 60}}, "/a/x", 20, nil},
		{"largest weighted excess first", []charge{{"/b", 60}, {"/c", 40}}, "/a/x", 20, []Victim{{"/c", cores(20)}}},
		{"weight 2 halves the excess", []charge{{"/b", 69}, {"/c", 31}}, "/a/x", 20, []Victim{{"/b", cores(20)}}},
		{"second borrower when the first has too little", []charge{{"/b", 65}, {"/c", 35}}, "/a/x", 20, []Victim{{"/c", cores(20)}}},
		{"usage within the parent's guarantee is kept", []charge{{"/a/x", 40}, {"/c", 60}}, "/b", 20, []Victim{{"/c", cores(20)}}},
		{"sibling releases capacity under the parent's limit", []charge{{"/a/x", 65}}, "/a/y", 20, []Victim{{"/a/x", cores(15)}}},
		{"unknown team", []charge{{"/c", 100}}, "/z", 1, nil},
	}
	for _, c := range cases {
		tree := testTree(t)
		for _, ch := range c.charges {
			tree.Charge(ch.team, cores(ch.n))
		}
		if got := tree.Reclaim(c.team, cores(c.n)); !slices.Equal(got, c.want) {
			t.Errorf("%s: Reclaim = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against portions that add up to more or less than the quota, or that
// overflow with sizes in bytes.
func TestPortionsAddUp(t *testing.T) {
	const pib = 1 << 50
	amount := structs.Resources{MilliCPU: 1001, MemoryBytes: 3 * pib, Accelerators: 7}
	capacities := []structs.Resources{{MilliCPU: 1, MemoryBytes: pib, Accelerators: 1}, {}, {MilliCPU: 2, MemoryBytes: 2*pib + 1}}
	var sum structs.Resources
	for _, p := range Portions(amount, capacities) {
		sum = sum.Add(p)
	}
	if sum != amount {
		t.Errorf("portions add up to %v, want %v", sum, amount)
	}
}

// Guards against limits that do not form a valid tree.
func TestNewRejectsInvalidTrees(t *testing.T) {
	cases := map[string][]Limits{
		"duplicate team": {{Team: "/a"}, {Team: "/a"}},
		"no name":        {{}},
		"parent missing": {{Team: "/a/x", Parent: "/a"}},
		"cycle":          {{Team: "/a", Parent: "/b"}, {Team: "/b", Parent: "/a"}},
		"negative":       {{Team: "/a", BorrowLimit: cores(-1)}},
	}
	for name, limits := range cases {
		if _, err := New(cores(1), limits); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// randomTree returns a tree of 390 teams: 30 parents with 12 children each.
func randomTree(r *rand.Rand) *Tree {
	var limits []Limits
	for i := range 30 {
		parent := structs.TeamID(fmt.Sprint("/", i))
		limits = append(limits, Limits{Team: parent, Guaranteed: cores(r.Int64N(100)), BorrowLimit: cores(r.Int64N(100))})
		for j := range 12 {
			team := structs.TeamID(fmt.Sprint(parent, "/", j))
			limits = append(limits, Limits{Team: team, Parent: parent, Guaranteed: cores(r.Int64N(10)), BorrowLimit: cores(r.Int64N(30)), Weight: 1 + r.Int64N(3)})
		}
	}
	tree, err := New(cores(4000), limits)
	if err != nil {
		panic(err)
	}
	return tree
}

// Guards against sequences of charges that exceed a quota, reclaims that do not
// cover a shortfall or reclaim guaranteed usage, and borrowed amounts that do
// not match the usage.
func TestQuotaIsNeverExceeded(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(390)
	params.MinSuccessfulTests = 40
	properties := gopter.NewProperties(params)
	properties.Property("limits hold after every step", prop.ForAll(func(seed int64) string {
		r := rand.New(rand.NewPCG(uint64(seed), 0))
		tree := randomTree(r)
		for range 1500 {
			if fault := step(tree, r); fault != "" {
				return fault
			}
		}
		return checkLimits(tree)
	}, gen.Int64()))
	properties.TestingRun(t)
}

// step charges or discharges a random team. Before it charges a guaranteed
// request, it discharges the shortfall from the victims. It returns a
// description of the first violation, or "".
func step(tree *Tree, r *rand.Rand) string {
	n := &tree.nodes[1+r.IntN(len(tree.nodes)-1)]
	if r.IntN(4) == 0 {
		tree.Discharge(n.Team, cores(r.Int64N(n.directUsed.MilliCPU/1000+1)))
		return ""
	}
	need := cores(1 + r.Int64N(20))
	d := tree.Admit(n.Team, need)
	if d.Verdict == Refused {
		return ""
	}
	for _, v := range tree.Reclaim(n.Team, need) {
		if d.Verdict != Guaranteed {
			return "a request that borrows reclaims capacity"
		}
		if u, _ := tree.Usage(v.Team); !v.Amount.Fits(u.Borrowed) {
			return fmt.Sprintf("%s must release %v but has borrowed only %v", v.Team, v.Amount, u.Borrowed)
		}
		tree.Discharge(v.Team, v.Amount)
	}
	tree.Charge(n.Team, need)
	return checkLimits(tree)
}

// checkLimits returns a description of the first node that exceeds a limit or
// whose usage is inconsistent, or "".
func checkLimits(tree *Tree) string {
	for i := range tree.nodes {
		n := &tree.nodes[i]
		if !n.excess(structs.Resources{}).IsZero() {
			return fmt.Sprintf("%q exceeds its limits by %v", n.Team, n.excess(structs.Resources{}))
		}
		u := tree.usageOf(i)
		if u.Used.IsNegative() || !u.Borrowed.Fits(u.Used) || i != root && !n.directUsed.Sub(u.Borrowed).Fits(n.ownGuarantee) {
			return fmt.Sprintf("%q: inconsistent usage %v", n.Team, u)
		}
	}
	return ""
}
