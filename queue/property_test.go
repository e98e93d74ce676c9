package queue

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/mangodrum/mangodrum/structs"
)

func checkProperty(t *testing.T, name string, check func(rng *rand.Rand) string) {
	params := gopter.DefaultTestParametersWithSeed(3)
	params.MinSuccessfulTests = 200
	properties := gopter.NewProperties(params)
	properties.Property(name, prop.ForAllNoShrink(func(seed int64) string {
		if fault := check(rand.New(rand.NewSource(seed))); fault != "" {
			return fmt.Sprintf("seed %d: %s", seed, fault)
		}
		return ""
	}, gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
}

// Guards against a class that has enough work but gets less than its floor, for
// random weights, floors, item sizes and backlogs.
func TestEveryClassGetsItsFloor(t *testing.T) {
	checkProperty(t, "floor", func(rng *rand.Rand) string {
		cfg, left := Config{}, int64(million)
		for i := range 2 + rng.Intn(4) {
			floor := 1 + rng.Int63n(left/2)
			left -= floor
			urgency := []structs.Urgency{structs.Urgent, structs.Normal, structs.Deferrable}[rng.Intn(3)]
			cfg.Classes = append(cfg.Classes, ClassConfig{
				Name: structs.ClassName(fmt.Sprint("c", i)), Urgency: urgency, Weight: 1 + rng.Int63n(50), FloorPPM: floor,
			})
		}
		q := New(cfg)
		const capacity, largest = 2_000, 20
		q.SetCapacity(capacity)
		for _, c := range cfg.Classes {
			for i := range capacity / (1 + rng.Intn(3)) {
				it := item(string(c.Name), i, c.Name, structs.Timestamp(rng.Intn(1000)))
				it.Cost = 1 + rng.Int63n(largest)
				q.PushAdmitted(it)
			}
		}
		taken := map[structs.ClassName]int64{}
		q.BeginPass(2000)
		for used := int64(0); used < capacity; {
			it, ok := q.Next(2000)
			if !ok {
				break
			}
			q.Take(it)
			used += it.Cost
			taken[it.Class] += it.Cost
		}
		for _, c := range cfg.Classes {
			if floor := c.FloorPPM * capacity / million; taken[c.Name] < floor {
				return fmt.Sprintf("class %+v got %d of its floor %d", c, taken[c.Name], floor)
			}
		}
		return ""
	})
}

// Guards against items that are lost, served twice or served after removal, in
// random sequences of all operations.
func TestNoItemIsLostOrServedTwice(t *testing.T) {
	checkProperty(t, "no loss", func(rng *rand.Rand) string {
		q := newQueue()
		pending := map[structs.TaskID]bool{}
		var pushed []structs.TaskID
		now := structs.Timestamp(1)
		serve := func(n int, respond func(Item)) string {
			q.BeginPass(now)
			for range n {
				it, ok := q.Next(now)
				if !ok {
					return ""
				}
				if !pending[it.ID] {
					return fmt.Sprintf("%s is served but not pending", it.ID)
				}
				respond(it)
			}
			return ""
		}
		take := func(it Item) { q.Take(it); delete(pending, it.ID) }
		for step := range 300 {
			now += structs.Timestamp(rng.Intn(100))
			it := item(fmt.Sprint("j", rng.Intn(20)), step, []structs.ClassName{"urgent", "normal", "deferrable"}[rng.Intn(3)], now)
			it.Team = structs.TeamID(fmt.Sprint("/t", rng.Intn(4)))
			it.PlacementKey = []string{"", "x", "y"}[rng.Intn(3)]
			it.NotBefore = structs.Timestamp(rng.Intn(2)) * now.Add(time.Duration(rng.Intn(300)))
			q.PushAdmitted(it)
			pending[it.ID] = true
			pushed = append(pushed, it.ID)
			fault := ""
			switch rng.Intn(5) {
			case 0:
				fault = serve(3, take)
			case 1:
				fault = serve(5, q.Skip)
			case 2:
				fault = serve(2, func(it Item) { q.Hold(it, now+50) })
			case 3:
				fault = serve(1, q.SkipTeam)
			case 4:
				id := pushed[rng.Intn(len(pushed))]
				if q.Remove(id) != pending[id] {
					return fmt.Sprintf("Remove(%s) disagrees with the model", id)
				}
				delete(pending, id)
			}
			if fault != "" {
				return fault
			}
		}
		now += 1000
		if fault := serve(1000, take); fault != "" {
			return fault
		}
		if len(pending) != 0 || q.Len() != 0 {
			return fmt.Sprintf("%d items were never served, the queue has %d", len(pending), q.Len())
		}
		return ""
	})
}
