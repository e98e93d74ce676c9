package router_test

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/structs"
)

// runFailing sends requests while every executor breaks every attempt. It returns
// the attempts per request with at least one attempt.
func runFailing(retryPercent int) float64 {
	policy := unlimitedPolicy("urgent", structs.Urgent)
	policy.Classes[0].RetryPercent = retryPercent
	s := newRouterSim(1, policy, 1, false)
	s.hedge = true
	for _, x := range s.executors {
		x.respond = func() (time.Duration, router.Result) {
			return 5 * time.Millisecond, router.Result{Kind: router.NoResponse}
		}
	}
	for _, in := range s.instances {
		var next func()
		next = func() {
			in.arrive("urgent", true, time.Second)
			s.after(s.exponential(5*time.Millisecond), next)
		}
		s.after(s.exponential(5*time.Millisecond), next)
	}
	s.runUntil(s.now.Add(10 * time.Second))
	first := uint64(0)
	for _, in := range s.instances {
		first += in.state.Counts().FirstAttempts
	}
	return float64(s.attempts) / float64(first)
}

// Guards against retries that multiply the load of a failing service.
func TestRetriesStayWithinBudgetWhenAllExecutorsFail(t *testing.T) {
	const noBudget = 10_000 // percent: a hundred retries for each first attempt
	limited, unlimited := runFailing(10), runFailing(noBudget)
	t.Logf("attempts per request: %.3f with the budget, %.3f without", limited, unlimited)
	if limited > 1.1 {
		t.Errorf("%.3f attempts per request, want at most 1.1", limited)
	}
	if unlimited < 1.5 {
		t.Errorf("without a budget %.3f attempts per request: the test does not cause retries", unlimited)
	}
}

// Guards against sending the usual share of requests to slow or failing
// executors, and against never restoring executors that work again.
func TestUnhealthyExecutorsGetLessWorkAndAreRestored(t *testing.T) {
	s := newRouterSim(1, unlimitedPolicy("normal", structs.Normal), 1, false)
	broken := true
	ok := router.Result{Kind: router.Completed, Status: 200}
	s.executors[0].respond = func() (time.Duration, router.Result) { return s.exponential(10 * meanRunTime), ok }
	s.executors[1].respond = func() (time.Duration, router.Result) {
		if broken {
			return time.Millisecond, router.Result{Kind: router.Completed, Status: 503}
		}
		return s.exponential(meanRunTime), ok
	}
	for _, in := range s.instances {
		var next func()
		next = func() {
			in.arrive("normal", true, 0)
			s.after(s.exponential(800*time.Microsecond), next) // half of the total capacity
		}
		s.after(time.Millisecond, next)
	}
	share := func(x *simExecutor, length time.Duration) float64 {
		before, all := x.served, s.attempts
		s.runUntil(s.now.Add(length))
		return float64(x.served-before) / float64(s.attempts-all) * simExecutors
	}
	s.runUntil(s.now.Add(time.Second))
	failing := share(s.executors[1], 4*time.Second)
	slow := share(s.executors[0], time.Second)
	broken = false
	s.runUntil(s.now.Add(35 * time.Second)) // the longest ejection and its jitter
	restored := share(s.executors[1], 2*time.Second)
	t.Logf("share of the mean: failing %.3f, slow %.3f, restored %.3f", failing, slow, restored)
	if slow > 0.5 {
		t.Errorf("the executor that takes ten times as long got %.3f of a mean share, want at most 0.5", slow)
	}
	if failing > 0.05 {
		t.Errorf("the failing executor got %.3f of a mean share, want at most 0.05", failing)
	}
	if restored < 0.5 {
		t.Errorf("the restored executor got %.3f of a mean share, want at least 0.5", restored)
	}
}

// Guards against sending requests to other regions while the wait in their own
// region is short, and against keeping requests in a region without executors
// that can serve them.
func TestOtherRegionsAreUsedOnlyForLongWaits(t *testing.T) {
	s := newRouterSim(1, unlimitedPolicy("normal", structs.Normal), 3, false)
	elsewhere := func() int {
		n := 0
		for _, x := range s.executors {
			if x.info.Location.Region != "r0" {
				n += x.served
			}
		}
		return n
	}
	in := s.instances[0]
	arrive := func() { in.arrive("normal", true, 0) }
	for i := range 200 {
		s.after(time.Second+time.Duration(i)*5*time.Millisecond, arrive)
	}
	s.runUntil(s.now.Add(3 * time.Second))
	if n := elsewhere(); n != 0 {
		t.Errorf("%d requests left the region at low load", n)
	}
	for _, x := range s.executors {
		if x.info.Location.Region == "r0" {
			x.info.State = structs.Leaving
		}
	}
	in.list()
	for i := range 200 {
		s.after(time.Duration(i)*5*time.Millisecond, arrive)
	}
	s.runUntil(s.now.Add(3 * time.Second))
	if n := elsewhere(); n != 200 {
		t.Errorf("%d of 200 requests were served elsewhere after the region's executors left", n)
	}
}
