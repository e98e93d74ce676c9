package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// replayJob is a job of the simulated load. It uses a number of cores for its run
// time.
type replayJob struct {
	arrivesAt, runTime time.Duration
	cores              float64
	latestOnTime       time.Duration // latest start that meets the objective
	latestUseful       time.Duration // latest start after which the result has no value
}

func (j *replayJob) work() float64 { return j.cores * j.runTime.Seconds() }

// burstLoad draws gangs as on the grown sites. Their load equals the capacity of
// the cell on average, and three times that for eight seconds.
func burstLoad(seed uint64, cores float64) []*replayJob {
	rng := rand.New(rand.NewPCG(seed, 9))
	var jobs []*replayJob
	for at := time.Duration(0); at < 40*time.Second; {
		load := 1.0
		if at > 8*time.Second && at < 16*time.Second {
			load = 3
		}
		j := &replayJob{
			arrivesAt: at, runTime: logNormal(rng, 4*time.Second, 0.5), cores: 4.5 * max(1, logNormal(rng, 15*time.Second, 0.7).Seconds()),
		}
		j.cores = min(j.cores, cores/3)
		objective := time.Duration(2.2*float64(j.runTime+800*time.Millisecond)) + 1200*time.Millisecond
		j.latestOnTime, j.latestUseful = at+objective-j.runTime, at+3*objective-j.runTime
		jobs = append(jobs, j)
		at += time.Duration(j.work() / (load * cores) * float64(time.Second))
	}
	return jobs
}

// replay simulates the load on a cell with the given number of cores. The first
// job in the order that does not fit blocks the others, because capacity is
// reserved for it. It returns the value of the jobs that ran, with a fifth for
// late ones, as a share of the value of all jobs.
func replay(jobs []*replayJob, cores float64, before func(now time.Duration, a, b *replayJob) int) float64 {
	meanWork := 0.0
	for _, j := range jobs {
		meanWork += j.work() / float64(len(jobs))
	}
	value := func(j *replayJob) float64 { return fixedValueShare + (1-fixedValueShare)*j.work()/meanWork }
	type running struct {
		ends time.Duration
		job  *replayJob
	}
	var waiting []*replayJob
	var active []running
	achieved, possible := 0.0, 0.0
	next := 0
	for now := time.Duration(0); now < 120*time.Second; now += 20 * time.Millisecond {
		for next < len(jobs) && jobs[next].arrivesAt <= now {
			waiting = append(waiting, jobs[next])
			possible += value(jobs[next])
			next++
		}
		active = slices.DeleteFunc(active, func(r running) bool { return r.ends <= now })
		free := cores
		for _, r := range active {
			free -= r.job.cores
		}
		slices.SortStableFunc(waiting, func(a, b *replayJob) int {
			return cmp.Or(cmp.Compare(replayRank(now, a), replayRank(now, b)), before(now, a, b))
		})
		for len(waiting) > 0 && waiting[0].cores <= free {
			j := waiting[0]
			waiting = waiting[1:]
			free -= j.cores
			active = append(active, running{now + j.runTime, j})
			switch {
			case now <= j.latestOnTime:
				achieved += value(j)
			case now <= j.latestUseful:
				achieved += value(j) / 5
			}
		}
	}
	return achieved / possible
}

func replayRank(now time.Duration, j *replayJob) rank {
	switch {
	case now <= j.latestOnTime:
		return rankOnTime
	case now <= j.latestUseful:
		return rankLate
	}
	return rankExpired
}

// TestOrderUnderBurst guards against a placement order that wastes the capacity of
// a full cell. It simulates a burst of gangs beyond that capacity and compares the
// order by value density with first come first served, earliest latest start and
// smallest first on the same load.
func TestOrderUnderBurst(t *testing.T) {
	const cores, seeds = 1200.0, 12
	orders := map[string]func(meanWork float64) func(time.Duration, *replayJob, *replayJob) int{
		"value density": func(meanWork float64) func(time.Duration, *replayJob, *replayJob) int {
			return func(now time.Duration, a, b *replayJob) int {
				return cmp.Compare(valueDensity(b.work(), meanWork, b.latestOnTime-now), valueDensity(a.work(), meanWork, a.latestOnTime-now))
			}
		},
		"first come": func(float64) func(time.Duration, *replayJob, *replayJob) int {
			return func(_ time.Duration, a, b *replayJob) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) }
		},
		"earliest latest start": func(float64) func(time.Duration, *replayJob, *replayJob) int {
			return func(_ time.Duration, a, b *replayJob) int { return cmp.Compare(a.latestOnTime, b.latestOnTime) }
		},
		"smallest": func(float64) func(time.Duration, *replayJob, *replayJob) int {
			return func(_ time.Duration, a, b *replayJob) int { return cmp.Compare(a.work(), b.work()) }
		},
	}
	mean := map[string]float64{}
	for seed := range uint64(seeds) {
		jobs := burstLoad(seed, cores)
		meanWork := 0.0
		for _, j := range jobs {
			meanWork += j.work() / float64(len(jobs))
		}
		for name, order := range orders {
			mean[name] += replay(jobs, cores, order(meanWork)) / seeds
		}
	}
	t.Logf("share of the total value: %.3f by value density, %.3f earliest latest start, %.3f first come, %.3f smallest",
		mean["value density"], mean["earliest latest start"], mean["first come"], mean["smallest"])
	for name, achieved := range mean {
		if name != "value density" && achieved > mean["value density"] {
			t.Errorf("order by %s achieves %.3f, more than %.3f of the order by value density", name, achieved, mean["value density"])
		}
	}
}
