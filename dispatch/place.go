package dispatch

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// place gives room to the steps that wait, in the order of contenders.
func (c *Cell) place() {
	for _, w := range c.order {
		w.reserved = structs.Resources{}
	}
	reserving := 0
	for _, contender := range c.contenders() {
		s := contender.step
		if s.spec.Gang {
			placed := c.placeGang(s, contender.rank)
			if !placed && reserving < c.maxReserving() && (contender.rank <= rankOnTime || s.asking > 0) {
				reserving++
				c.reserve(s)
			}
			continue
		}
		c.placeTasks(s, contender.rank)
	}
}

// maxReserving returns how many gangs may reserve room at a time. A larger
// cell has room for more of them beside its other work.
func (c *Cell) maxReserving() int {
	return max(c.policy.MinReserving, len(c.order)/c.policy.WorkersPerReserving)
}

// eligible reports whether a worker may get new tasks of a step, as far as is
// known without the advisor.
func (c *Cell) eligible(s *step, w *worker) bool {
	return w.known && w.listed && !w.unheard && !w.Draining && w.misses < missesBeforeSilent && (w.misses == 0 || !s.spec.Gang) &&
		!c.now.Before(w.restUntil) && w.Service == s.job.queue.Service &&
		(s.spec.RequiredLabel == "" || w.HasLabel(s.spec.RequiredLabel)) &&
		s.spec.Size().Fits(w.Capacity)
}

// admitted returns the workers that may run a step.
func (c *Cell) admitted(s *step) []*worker {
	known := c.order
	if s.job.queue.Advisor != nil {
		known = s.good
	}
	list := make([]*worker, 0, len(known))
	for _, w := range known {
		if c.eligible(s, w) {
			list = append(list, w)
		}
	}
	return list
}

// free returns the room of a worker that a step of the given rank may use.
// Urgent tasks are short and may use room that gangs wait for.
func (c *Cell) free(w *worker, r rank) structs.Resources {
	free := w.Capacity.Sub(w.used)
	if r != rankUrgent {
		free = free.Sub(w.reserved)
	}
	return free
}

func (s *step) roomForMore(w *worker) int {
	if s.spec.MaxPerWorker == 0 {
		return len(s.tasks)
	}
	return max(0, s.spec.MaxPerWorker-s.perWorker[w.ID])
}

// placeTasks places the waiting tasks of a step one by one.
func (c *Cell) placeTasks(s *step, r rank) {
	candidates := c.admitted(s)
	for _, t := range s.tasks {
		if t.state != taskWaiting || t.occupied() {
			continue
		}
		w := c.choose(t, candidates, r)
		if w == nil {
			c.askMore(s, r)
			break
		}
		c.allot(t, w)
	}
	c.startPlaced(s)
}

// occupied reports whether an earlier run of the task is still accounted for.
func (t *task) occupied() bool { return t.at != nil }

// choose returns the worker for one task: away from where it failed, at the
// data's rack, and where the least room is left over, so that wide tasks
// still find whole workers.
func (c *Cell) choose(t *task, candidates []*worker, r rank) *worker {
	var best *worker
	var bestCost float64
	s := t.step
	for _, w := range candidates {
		if s.roomForMore(w) == 0 || !s.spec.Size().Fits(c.free(w, r)) || w.allocations[t.name] != nil {
			continue
		}
		left := w.Capacity.Sub(w.used).Sub(s.spec.Size())
		cost := float64(left.DominantShare(w.Capacity))
		if !c.isTicketValid(s, w) {
			cost += ticketCost
		}
		if w.misses > 0 {
			cost += silentCost
		}
		if w.ID == t.avoid {
			cost += avoidCost
		}
		if s.spec.DataRack != "" && w.Location.Rack != s.spec.DataRack {
			cost += remoteCost
		}
		if r == rankUrgent && !s.spec.Size().Fits(w.Capacity.Sub(w.used).Sub(w.reserved)) {
			cost += reservedCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// Costs in parts per million of a worker's capacity; each outweighs the
// costs before it.
const (
	ticketCost   = 1e6 // the room stands idle until the ticket is renewed
	reservedCost = 2e6
	remoteCost   = 4e6
	silentCost   = 8e6
	avoidCost    = 16e6
)

// share is how many members of a gang go to a worker.
type share struct {
	worker *worker
	tasks  int
}

// placeGang places and starts all members of a gang, or none. It places them
// on workers with valid tickets only: room that waits for a ticket stands
// idle, and a call for advice takes a quarter of a gang's run time.
func (c *Cell) placeGang(s *step, r rank) bool {
	if s.idle < len(s.tasks) || s.isOccupied() {
		return true // an earlier run is still ending; nothing to reserve
	}
	shares := c.spread(s, func(w *worker) structs.Resources { return c.free(w, r) })
	if shares == nil {
		c.adviseWaitingGang(s, r)
		return false
	}
	next := 0
	for _, sh := range shares {
		for range sh.tasks {
			c.allot(s.tasks[next], sh.worker)
			next++
		}
	}
	c.startPlaced(s)
	return true
}

func (s *step) isOccupied() bool {
	for _, t := range s.tasks {
		if t.occupied() {
			return true
		}
	}
	return false
}

// spread distributes the members of a gang over the workers with valid
// tickets and the given room, or returns nil if they do not fit. A gang that
// is slow across racks goes to one rack where it fits.
func (c *Cell) spread(s *step, room func(*worker) structs.Resources) []share {
	candidates := c.ticketed(s, c.admitted(s))
	if s.spec.SameRack {
		byRack := map[structs.Rack][]*worker{}
		for _, w := range candidates {
			byRack[w.Location.Rack] = append(byRack[w.Location.Rack], w)
		}
		for _, w := range candidates {
			if shares := c.spreadOver(s, byRack[w.Location.Rack], room); shares != nil {
				return shares
			}
		}
	}
	return c.spreadOver(s, candidates, room)
}

// ticketed returns the candidates for which the step has a valid ticket.
func (c *Cell) ticketed(s *step, candidates []*worker) []*worker {
	list := make([]*worker, 0, len(candidates))
	for _, w := range candidates {
		if c.isTicketValid(s, w) {
			list = append(list, w)
		}
	}
	return list
}

func (c *Cell) spreadOver(s *step, candidates []*worker, room func(*worker) structs.Resources) []share {
	shares := make([]share, 0, len(candidates))
	total := 0
	for _, w := range candidates {
		n := min(timesIn(s.spec.Size(), room(w)), s.roomForMore(w))
		if n > 0 {
			shares = append(shares, share{w, n})
			total += n
		}
	}
	if total < len(s.tasks) {
		return nil
	}
	// Few workers for each gang leave whole workers for the next one.
	slices.SortStableFunc(shares, func(a, b share) int { return cmp.Compare(b.tasks, a.tasks) })
	left := len(s.tasks)
	for n := range shares {
		shares[n].tasks = min(shares[n].tasks, left)
		left -= shares[n].tasks
		if left == 0 {
			return shares[:n+1]
		}
	}
	return nil
}

// timesIn returns how many tasks of the size fit into the room.
func timesIn(size, room structs.Resources) int {
	if room.IsNegative() {
		return 0
	}
	const many = 1 << 20 // a size of nothing fits any number of times
	n := int64(many)
	if size.MilliCPU > 0 {
		n = min(n, room.MilliCPU/size.MilliCPU)
	}
	if size.MemoryBytes > 0 {
		n = min(n, room.MemoryBytes/size.MemoryBytes)
	}
	if size.Accelerators > 0 {
		n = min(n, room.Accelerators/size.Accelerators)
	}
	return int(n)
}

// slot is room for one member of a gang on a worker.
type slot struct {
	worker *worker
	lack   int64 // thousandths of a core that still have to become free
}

// reserve keeps room for a gang that does not fit yet. It answers the load
// of many small tasks that would otherwise take each piece of room as it
// becomes free, and starve wide gangs. The slots that lack least come first:
// they are complete after the fewest ends of other tasks.
func (c *Cell) reserve(s *step) {
	size := s.spec.Size()
	var slots []slot
	for _, w := range c.admitted(s) {
		free := w.Capacity.Sub(w.used).Sub(w.reserved)
		count := min(timesIn(size, w.Capacity.Sub(w.reserved)), s.roomForMore(w), len(s.tasks))
		for n := range count {
			slots = append(slots, slot{w, max(0, int64(n+1)*size.MilliCPU-free.MilliCPU)})
		}
	}
	if len(slots) < len(s.tasks) {
		return // the advisor has admitted too few workers so far
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.lack, b.lack) })
	for _, sl := range slots[:len(s.tasks)] {
		sl.worker.reserved = sl.worker.reserved.Add(size)
	}
}
