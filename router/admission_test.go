package router

import (
	"reflect"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const testStart = structs.Timestamp(time.Hour)

// newStandaloneState returns a state that needs no credits and has one executor
// with the given number of slots.
func newStandaloneState(policy Policy, slots int) *State {
	s := New(Config{Instance: "i", Seed: 1, Policy: policy, Standalone: true})
	s.Reduce(testStart, &ExecutorsListed{Executors: []structs.Executor{{
		ID: "e", Service: "svc", Slots: slots, Connections: 64, State: structs.Live,
	}}})
	return s
}

func arrival(ref Ref, team structs.TeamID, class structs.ClassName, deadline time.Duration) *RequestArrived {
	return &RequestArrived{Ref: ref, Request: Request{
		ID: "x", Team: team, Class: class, Service: "svc", Deadline: testStart.Add(deadline), Idempotent: true,
	}}
}

// firstEffect returns the first effect of type T.
func firstEffect[T structs.Effect](effects []structs.Effect) (T, bool) {
	for _, effect := range effects {
		if e, ok := effect.(T); ok {
			return e, true
		}
	}
	var none T
	return none, false
}

// Guards against unbounded queues, against urgent requests that queue although
// they cannot meet their deadline, and against refusing requests of other
// classes for that reason.
func TestAdmissionRefusalReasons(t *testing.T) {
	policy := Policy{Classes: []ClassPolicy{
		{Name: "urgent", Urgency: structs.Urgent},
		{Name: "normal", Urgency: structs.Normal, QueueLimit: 3, TeamQueueLimit: 2},
	}}
	s := newStandaloneState(policy, 1)
	steps := []struct {
		team     structs.TeamID
		class    structs.ClassName
		deadline time.Duration
		want     Reason
	}{
		{"a", "urgent", time.Second, ""}, // takes the slot
		{"a", "urgent", time.Second, ""}, // queues
		{"a", "urgent", time.Millisecond, ReasonDeadlineCannotBeMet},
		{"a", "normal", time.Millisecond, ""}, // not urgent: waits and may time out
		{"a", "normal", time.Second, ""},
		{"a", "normal", time.Second, ReasonTeamQueueFull},
		{"b", "normal", time.Second, ""},
		{"b", "normal", time.Second, ReasonQueueFull},
		{"a", "other", time.Second, ReasonUnknownClass},
	}
	for i, step := range steps {
		effects := s.Reduce(testStart, arrival(Ref(i+1), step.team, step.class, step.deadline))
		refused, _ := firstEffect[Refuse](effects)
		if refused.Reason != step.want {
			t.Errorf("step %d: reason %q, want %q", i, refused.Reason, step.want)
		}
		if step.want != "" && refused.Outcome != NotRun {
			t.Errorf("step %d: outcome %q, want not-run", i, refused.Outcome)
		}
	}
	late, _ := firstEffect[Refuse](s.Reduce(testStart.Add(time.Millisecond), &Tick{}))
	if late.Ref != 4 || late.Outcome != NotRun || late.Reason != ReasonDeadlinePassed {
		t.Errorf("at the deadline: %+v, want request 4 refused with outcome not-run", late)
	}
}

// countStarts ends one attempt after another, so that each starts the next, and
// counts the starts by the key of the request in refs.
func countStarts(s *State, refs map[Ref]string, count int) map[string]int {
	counts := map[string]int{}
	now := testStart
	running := Ref(1)
	attempt := 1
	for range count {
		now = now.Add(time.Millisecond)
		send, ok := firstEffect[Send](s.Reduce(now, &AttemptEnded{Ref: running, Attempt: attempt, Result: Result{Kind: Completed, Status: 200}}))
		if !ok {
			break
		}
		running, attempt = send.Ref, send.Attempt
		counts[refs[running]]++
	}
	return counts
}

// Guards against shares of starts that do not follow the weights, against
// starvation of a class or team, and against a floor without effect.
func TestSharesFollowWeightsFloorsAndTeams(t *testing.T) {
	policy := Policy{
		Classes: []ClassPolicy{
			{Name: "urgent", Urgency: structs.Urgent, Weight: 16, QueueLimit: 500, TeamQueueLimit: 500},
			{Name: "normal", Urgency: structs.Normal, Weight: 3, QueueLimit: 500, TeamQueueLimit: 500},
			{Name: "deferrable", Urgency: structs.Deferrable, Weight: 1, FloorPercent: 20, QueueLimit: 500, TeamQueueLimit: 500},
		},
		TeamWeights: map[structs.TeamID]int{"big": 3},
	}
	s := newStandaloneState(policy, 1)
	refs := map[Ref]string{}
	next := Ref(1)
	for range 200 {
		for _, class := range []structs.ClassName{"urgent", "normal", "deferrable"} {
			for _, team := range []structs.TeamID{"big", "small"} {
				s.Reduce(testStart, arrival(next, team, class, time.Minute))
				refs[next] = string(class) + " " + string(team)
				next++
			}
		}
	}
	got := countStarts(s, refs, 200)
	for class, want := range map[string]int{"urgent": 136, "normal": 24, "deferrable": 40} {
		big, small := got[class+" big"], got[class+" small"]
		if sum := big + small; sum < want*8/10 || sum > want*12/10 {
			t.Errorf("%s: %d of 200 starts, want about %d", class, sum, want)
		}
		if small == 0 || big < 2*small || big > 4*small {
			t.Errorf("%s: %d and %d starts for teams with weights 3 and 1", class, big, small)
		}
	}
}

// Guards against effects that depend on map order or on anything else but the
// events.
func TestSameEventsGiveSameEffects(t *testing.T) {
	run := func() []structs.Effect {
		s := newStandaloneState(DefaultPolicy(), 3)
		var all []structs.Effect
		for i := range 300 {
			ref := Ref(i + 1)
			class := []structs.ClassName{"urgent", "normal", "deferrable"}[i%3]
			all = append(all, s.Reduce(testStart.Add(time.Duration(i)*time.Millisecond), arrival(ref, "t", class, time.Duration(i+1)*3*time.Millisecond))...)
			result := Result{Kind: []ResultKind{Completed, NoResponse, NotSent}[i%3], Status: 200, Replayable: true}
			all = append(all, s.Reduce(testStart.Add(time.Duration(i)*time.Millisecond), &AttemptEnded{Ref: ref / 2, Attempt: 1, Result: result})...)
			all = append(all, s.Reduce(testStart.Add(time.Duration(i)*time.Millisecond), &Tick{})...)
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same events gave different effects, %d and %d in number", len(a), len(b))
	}
}
