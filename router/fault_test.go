package router_test

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router"
	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// faults injects random faults into a simulation.
type faults struct {
	*routerSim
	counts   map[string]int
	arrivals int
}

// maxSkew limits the difference of any two clocks to the clock bound of 500 ms.
const maxSkew = 250 * time.Millisecond

func (f *faults) randomSkew() time.Duration {
	return time.Duration(f.rng.Int64N(int64(2*maxSkew))) - maxSkew
}

// next injects one fault and schedules the next one.
func (f *faults) next() {
	f.after(f.exponential(700*time.Millisecond), f.next)
	in := f.instances[f.rng.IntN(len(f.instances))]
	length := f.exponential(5 * time.Second)
	switch f.rng.IntN(7) {
	case 0, 1:
		f.pauseInstance(in, length)
	case 2:
		f.killInstance(in)
	case 3:
		f.disturbOwner(length, func(o *simOwner) { o.paused = true }, (*simOwner).resume)
	case 4:
		f.disturbOwner(length, func(o *simOwner) { o.tableUnreachable = true }, func(o *simOwner) { o.tableUnreachable = false })
	case 5:
		f.toggleExecutor()
	case 6:
		f.isolateInstance(in, 4*length)
	}
}

func (f *faults) isolateInstance(in *simInstance, length time.Duration) {
	if in.isolated {
		return
	}
	f.counts["isolation"]++
	in.isolated = true
	f.after(length, func() { in.isolated = false })
}

func (f *faults) pauseInstance(in *simInstance, length time.Duration) {
	if in.isPaused || in.dead {
		return
	}
	f.counts["pause"]++
	in.isPaused = true
	f.after(length, in.resume)
}

// killInstance ends an instance unless only five are alive.
func (f *faults) killInstance(in *simInstance) {
	if in.dead || f.counts["death"] >= simInstances-5 {
		return
	}
	f.counts["death"]++
	in.crash()
	f.after(f.exponential(5*time.Second), func() {
		for _, o := range f.owners {
			o.receive(&credits.InstanceGone{Instance: in.id})
		}
		in.reportedGone = true
	})
}

// disturbOwner applies a fault to the owner for the given length. Another owner
// takes over if the ownership expires meanwhile. The fault ends in either case,
// so that the old owner resumes.
func (f *faults) disturbOwner(length time.Duration, begin, end func(*simOwner)) {
	o := f.owners["r0"]
	if o.paused || o.tableUnreachable {
		return
	}
	f.counts["owner"]++
	begin(o)
	f.after(length, func() { end(o) })
	seen := o.expiry
	expired := seen.Add(-o.skew).Add(500*time.Millisecond + f.exponential(time.Second))
	f.after(expired.Sub(f.now), func() {
		if f.owners["r0"] == o && o.expiry == seen {
			f.takeOver(o)
		}
	})
}

// takeOver replaces the owner. The instances learn of the new owner after random
// delays.
func (f *faults) takeOver(old *simOwner) {
	f.counts["takeover"]++
	var unconfirmed []structs.InstanceID
	for _, in := range f.instances {
		if !in.reportedGone {
			unconfirmed = append(unconfirmed, in.id)
		}
	}
	successor := f.newOwner("r0", old, unconfirmed, f.randomSkew())
	f.owners["r0"] = successor
	for _, in := range f.instances {
		f.after(f.exponential(8*time.Second), func() { in.owners["r0"] = successor })
	}
}

// toggleExecutor changes a random executor between the states Live and Leaving.
func (f *faults) toggleExecutor() {
	f.counts["executor"]++
	x := f.executors[f.rng.IntN(len(f.executors))]
	if x.info.State == structs.Live {
		x.info.State = structs.Leaving
	} else {
		x.info.State = structs.Live
	}
	for _, in := range f.instances {
		f.after(f.exponential(time.Second), func() { in.deliver(in.list) })
	}
	infos := f.infos()
	f.owners["r0"].receive(&credits.ExecutorsListed{Executors: infos})
}

// sometimesHang lets one request in a hundred run until its deadline.
func (f *faults) sometimesHang() (time.Duration, router.Result) {
	if f.rng.IntN(100) == 0 {
		return time.Hour, router.Result{}
	}
	return f.exponential(f.meanRunTime), router.Result{Kind: router.Completed, Status: 200}
}

func runFaults(seed uint64, length time.Duration) *faults {
	f := &faults{routerSim: newRouterSim(seed, unlimitedPolicy("urgent", structs.Urgent), 1, false), counts: map[string]int{}}
	f.meanRunTime = 400 * time.Millisecond
	f.hedge = true
	for _, x := range f.executors {
		x.respond = f.sometimesHang
	}
	for i, in := range f.instances {
		in.skew = f.randomSkew()
		var next func()
		next = func() {
			f.arrivals++
			in.arrive("urgent", true, 5*time.Second)
			f.after(f.exponential(time.Duration(4+i)*time.Millisecond), next)
		}
		f.after(time.Second, next)
	}
	f.after(2*time.Second, f.next)
	f.runUntil(f.now.Add(length))
	return f
}

// Guards against more requests on an executor than it has slots while instances
// pause, end and are isolated, owners pause, lose the connection to the table
// service and are replaced, and messages are delayed.
func TestSlotsAreNeverExceededUnderFaults(t *testing.T) {
	takeovers := 0
	for seed := range uint64(6) {
		f := runFaults(seed+1, 45*time.Second)
		if f.maximum() > simSlots {
			t.Errorf("seed %d: an executor ran %d requests at once, it has %d slots; faults %v",
				seed+1, f.maximum(), simSlots, f.counts)
		}
		if f.totals[router.Answered] < f.arrivals/10 {
			t.Errorf("seed %d: only %d of %d requests answered; %v", seed+1, f.totals[router.Answered], f.arrivals, f.refused)
		}
		takeovers += f.counts["takeover"]
	}
	if takeovers == 0 {
		t.Error("no owner was replaced, so the schedule does not test takeovers")
	}
}
