package router

import (
	"reflect"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

const testStart = structs.Timestamp(time.Hour)

// oneSlot returns a state with one executor that has the given slots.
func oneSlot(policy Policy, slots int) *State {
	s := New(Config{Instance: "i", Seed: 1, Policy: policy, Alone: true})
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

// find returns the first effect of the type of T.
func find[T structs.Effect](effects []structs.Effect) (T, bool) {
	for _, effect := range effects {
		if e, ok := effect.(T); ok {
			return e, true
		}
	}
	var none T
	return none, false
}

// Guards against queues without bound, against urgent requests that wait for
// a deadline they cannot meet, and against other classes refused for that.
func TestAdmissionRefusesForTheRightReason(t *testing.T) {
	policy := Policy{Classes: []ClassPolicy{
		{Name: "urgent", Urgency: structs.Urgent},
		{Name: "normal", Urgency: structs.Normal, QueueLimit: 3, TeamQueueLimit: 2},
	}}
	s := oneSlot(policy, 1)
	steps := []struct {
		team     structs.TeamID
		class    structs.ClassName
		deadline time.Duration
		want     Reason
	}{
		{"a", "urgent", time.Second, ""}, // takes the slot
		{"a", "urgent", time.Second, ""}, // queues
		{"a", "urgent", time.Millisecond, ReasonCannotMeet},
		{"a", "normal", time.Millisecond, ""}, // not urgent: waits and may time out
		{"a", "normal", time.Second, ""},
		{"a", "normal", time.Second, ReasonTeamQueueFull},
		{"b", "normal", time.Second, ""},
		{"b", "normal", time.Second, ReasonQueueFull},
		{"a", "other", time.Second, ReasonUnknownClass},
	}
	for i, step := range steps {
		effects := s.Reduce(testStart, arrival(Ref(i+1), step.team, step.class, step.deadline))
		refused, _ := find[Refuse](effects)
		if refused.Reason != step.want {
			t.Errorf("step %d: reason %q, want %q", i, refused.Reason, step.want)
		}
		if step.want != "" && refused.Outcome != NotRun {
			t.Errorf("step %d: outcome %q, want not-run", i, refused.Outcome)
		}
	}
	late, _ := find[Refuse](s.Reduce(testStart.Add(time.Millisecond), &Tick{}))
	if late.Ref != 4 || late.Outcome != NotRun || late.Reason != ReasonDeadlinePassed {
		t.Errorf("at the deadline: %+v, want request 4 refused as not run", late)
	}
}

// starts runs a full slot's worth of attempts and counts the starts by key.
func starts(s *State, refs map[Ref]string, count int) map[string]int {
	counts := map[string]int{}
	now := testStart
	running := Ref(1)
	attempt := 1
	for range count {
		now = now.Add(time.Millisecond)
		send, ok := find[Send](s.Reduce(now, &AttemptEnded{Ref: running, Attempt: attempt, Result: Result{Kind: Completed, Status: 200}}))
		if !ok {
			break
		}
		running, attempt = send.Ref, send.Attempt
		counts[refs[running]]++
	}
	return counts
}

// Guards against shares that do not follow weights, against a class or team
// that is starved, and against a floor without effect.
func TestSharesFollowWeightsFloorsAndTeams(t *testing.T) {
	policy := Policy{
		Classes: []ClassPolicy{
			{Name: "urgent", Urgency: structs.Urgent, Weight: 16, QueueLimit: 500, TeamQueueLimit: 500},
			{Name: "normal", Urgency: structs.Normal, Weight: 3, QueueLimit: 500, TeamQueueLimit: 500},
			{Name: "deferrable", Urgency: structs.Deferrable, Weight: 1, FloorPercent: 20, QueueLimit: 500, TeamQueueLimit: 500},
		},
		TeamWeights: map[structs.TeamID]int{"big": 3},
	}
	s := oneSlot(policy, 1)
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
	got := starts(s, refs, 200)
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

// Guards against effects that depend on map order or anything but the events.
func TestSameEventsGiveSameEffects(t *testing.T) {
	run := func() []structs.Effect {
		s := oneSlot(DefaultPolicy(), 3)
		var all []structs.Effect
		for i := range 300 {
			ref := Ref(i + 1)
			class := []structs.ClassName{"urgent", "normal", "deferrable"}[i%3]
			all = append(all, s.Reduce(testStart.Add(time.Duration(i)*time.Millisecond), arrival(ref, "t", class, time.Duration(i+1)*3*time.Millisecond))...)
			result := Result{Kind: []ResultKind{Completed, Broken, NotSent}[i%3], Status: 200, Replayable: true}
			all = append(all, s.Reduce(testStart.Add(time.Duration(i)*time.Millisecond), &AttemptEnded{Ref: ref / 2, Attempt: 1, Result: result})...)
			all = append(all, s.Reduce(testStart.Add(time.Duration(i)*time.Millisecond), &Tick{})...)
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs gave %d and %d effects that differ", len(a), len(b))
	}
}
