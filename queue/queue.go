package queue

import (
	"cmp"
	"container/heap"
	"errors"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// ErrFull is returned by Push for a class that has reached its maximum depth.
var ErrFull = errors.New("queue: the class has reached its maximum depth")

// ErrUnknownClass is returned by Push for a class that is not configured.
var ErrUnknownClass = errors.New("queue: the class is not configured")

// Queue holds the pending work of one shard. The zero value is not usable; call
// New.
type Queue struct {
	cfg              Config
	classes          []*class // most urgent first, then by name
	byName           map[structs.ClassName]*class
	items            map[structs.TaskID]*entry
	notDue           entryHeap // items whose NotBefore is in the future
	removedNotDue    int
	skippedSubqueues []*subqueue
	heldSubqueues    []*subqueue
	skippedTeams     []*team // skipped for the current pass
	capacity         int64
	seq              uint64
	passStart        structs.Timestamp // start of the last pass
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{items: map[structs.TaskID]*entry{}, notDue: entryHeap{byNotBefore: true}, capacity: 1}
	q.byName = map[structs.ClassName]*class{}
	q.Configure(cfg)
	return q
}

// Configure replaces weights, floors and ageing. Classes that are no longer
// listed keep their last configuration until they are empty.
func (q *Queue) Configure(cfg Config) {
	if cfg.Ageing <= 0 {
		cfg.Ageing = DefaultAgeing
	}
	q.cfg = cfg
	for _, c := range cfg.Classes {
		q.configureClass(c)
	}
	slices.SortFunc(q.classes, func(a, b *class) int {
		return cmp.Or(
			cmp.Compare(urgencyRank(a.cfg.Urgency), urgencyRank(b.cfg.Urgency)),
			cmp.Compare(a.cfg.Name, b.cfg.Name))
	})
	for _, c := range q.classes {
		for _, t := range c.teams {
			t.weight = cfg.teamWeight(t.id)
		}
		heap.Init(&c.heaps[byShare])
	}
}

func (q *Queue) configureClass(cfg ClassConfig) {
	if c := q.byName[cfg.Name]; c != nil {
		c.cfg = cfg.withDefaults()
		return
	}
	c := newClass(cfg)
	q.byName[cfg.Name] = c
	q.classes = append(q.classes, c)
}

// SetCapacity sets the total capacity, in the unit of Item.Cost. Floors and
// shares are fractions of it.
func (q *Queue) SetCapacity(capacity int64) { q.capacity = max(capacity, 1) }

// Len returns the number of pending items.
func (q *Queue) Len() int { return len(q.items) }

// Has reports whether the item is pending.
func (q *Queue) Has(id structs.TaskID) bool { return q.items[id] != nil }

// Push adds an item. An item with a NotBefore time is only served in passes that
// begin at that time or later. Deferrable items are never rejected because of
// the depth.
func (q *Queue) Push(it Item) error {
	c := q.byName[it.Class]
	if c == nil {
		return ErrUnknownClass
	}
	bounded := c.cfg.MaxDepth > 0 && c.cfg.Urgency != structs.Deferrable
	if bounded && c.depth >= c.cfg.MaxDepth {
		return ErrFull
	}
	q.add(c, it)
	return nil
}

func (q *Queue) add(c *class, it Item) {
	q.Remove(it.ID)
	t := c.team(it.Team, q.cfg.teamWeight(it.Team))
	key := it.subqueueKey()
	s := t.subqueues[key]
	if s == nil {
		s = &subqueue{key: key, team: t, index: -1}
		t.subqueues[key] = s
	}
	q.seq++
	e := &entry{item: it, subqueue: s, seq: q.seq}
	q.items[it.ID] = e
	s.pending++
	t.depth++
	c.depth++
	if it.NotBefore > 0 {
		heap.Push(&q.notDue, e)
		return
	}
	q.addDue(e)
}

func (q *Queue) addDue(e *entry) {
	e.item.NotBefore = 0
	heap.Push(&e.subqueue.entries, e)
	e.subqueue.due++
	e.subqueue.team.class.dueCost += e.item.Cost
	q.updateSubqueue(e.subqueue)
}

// updateSubqueue restores the position of a subqueue in the heap of its team
// after its entries or its state changed.
func (q *Queue) updateSubqueue(s *subqueue) {
	t := s.team
	if s.isReady() {
		s.head()
	}
	switch {
	case !s.isReady() && s.index >= 0:
		// The heap compares heads, so it must not compare an empty subqueue.
		removeSubqueue(&t.ready, s)
	case s.isReady() && s.index < 0:
		heap.Push(&t.ready, s)
	case s.isReady():
		heap.Fix(&t.ready, s.index)
	}
	t.class.updateTeam(t)
}

func removeSubqueue(h *subqueueHeap, s *subqueue) {
	i, last := s.index, len(*h)-1
	if i != last {
		h.Swap(i, last)
	}
	h.Pop()
	if i < len(*h) {
		heap.Fix(h, i)
	}
}

// Remove removes an item without charging its cost. It reports whether the item
// was pending.
func (q *Queue) Remove(id structs.TaskID) bool {
	e := q.items[id]
	if e == nil {
		return false
	}
	delete(q.items, id)
	e.removed = true
	s, t := e.subqueue, e.subqueue.team
	s.pending--
	t.depth--
	t.class.depth--
	if e.item.NotBefore > 0 {
		q.removeNotDue()
	} else {
		q.removeDue(s, e)
	}
	if s.pending == 0 {
		delete(t.subqueues, s.key)
	}
	return true
}

func (q *Queue) removeNotDue() {
	q.removedNotDue++
	if q.removedNotDue > len(q.notDue.list)/2+32 {
		q.notDue.compact()
		q.removedNotDue = 0
	}
}

// removeDue updates the subqueue of a removed entry. An entry behind the head
// stays in the heap, marked as removed, so that removing all items of a
// subqueue takes linear time.
func (q *Queue) removeDue(s *subqueue, e *entry) {
	s.due--
	s.team.class.dueCost -= e.item.Cost
	if s.due == 0 {
		q.updateSubqueue(s)
		s.entries.list = nil
		return
	}
	if len(s.entries.list) > 2*s.due+32 {
		s.entries.compact()
		q.updateSubqueue(s)
		return
	}
	if s.entries.list[0] == e {
		q.updateSubqueue(s)
	}
}

// PushAdmitted adds an item like Push but ignores the maximum depth of the class.
// It is for work that was admitted before and is queued again. A class that is
// not configured is added as a deferrable class.
func (q *Queue) PushAdmitted(it Item) {
	c := q.byName[it.Class]
	if c == nil {
		q.configureClass(ClassConfig{Name: it.Class, Urgency: structs.Deferrable})
		c = q.byName[it.Class]
	}
	q.add(c, it)
}

// Depth returns the number of pending items of a class.
func (q *Queue) Depth(name structs.ClassName) int {
	if c := q.byName[name]; c != nil {
		return c.depth
	}
	return 0
}
