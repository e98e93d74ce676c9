package queue

import (
	"cmp"
	"container/heap"
	"errors"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

// ErrFull is returned by Push for a bounded class at its depth.
var ErrFull = errors.New("queue: the class has reached its depth")

// ErrUnknownClass is returned by Push for a class that is not configured.
var ErrUnknownClass = errors.New("queue: the class is not configured")

// Queue is the pending work of one shard. Use New.
type Queue struct {
	cfg      Config
	classes  []*class // most urgent first, then by name
	byName   map[structs.ClassName]*class
	items    map[structs.TaskID]*entry
	waiting  entryHeap // items that are not due yet
	deadWait int
	aside    []*line
	held     []*line
	blocked  []*team // set aside for this pass
	capacity int64
	seq      uint64
	began    structs.Timestamp // of the last pass
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{items: map[structs.TaskID]*entry{}, waiting: entryHeap{byDue: true}, capacity: 1}
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
		c.cfg = cfg.normalised()
		return
	}
	c := newClass(cfg)
	q.byName[cfg.Name] = c
	q.classes = append(q.classes, c)
}

// SetCapacity tells the whole capacity, in the unit of Item.Cost. Floors are
// parts of it.
func (q *Queue) SetCapacity(capacity int64) { q.capacity = max(capacity, 1) }

// Len returns the number of pending items.
func (q *Queue) Len() int { return len(q.items) }

// Has reports whether the item is pending.
func (q *Queue) Has(id structs.TaskID) bool { return q.items[id] != nil }

// Push adds an item. An item with a NotBefore time takes part in passes that
// begin at that time or later. Deferrable work is never refused because of
// depth.
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
	key := it.lineKey()
	l := t.lines[key]
	if l == nil {
		l = &line{key: key, team: t, pos: -1}
		t.lines[key] = l
	}
	q.seq++
	e := &entry{item: it, line: l, seq: q.seq}
	q.items[it.ID] = e
	l.live++
	t.depth++
	c.depth++
	if it.NotBefore > 0 {
		heap.Push(&q.waiting, e)
		return
	}
	q.makeDue(e)
}

func (q *Queue) makeDue(e *entry) {
	e.item.NotBefore = 0
	heap.Push(&e.line.entries, e)
	e.line.due++
	e.line.team.class.ready += e.item.Cost
	q.refresh(e.line)
}

// refresh restores the position of a line after its entries or state changed.
func (q *Queue) refresh(l *line) {
	t := l.team
	if l.isReady() {
		l.head()
	}
	switch {
	case !l.isReady() && l.pos >= 0:
		// The heap compares heads, so it must not look at an empty line.
		removeLine(&t.ready, l)
	case l.isReady() && l.pos < 0:
		heap.Push(&t.ready, l)
	case l.isReady():
		heap.Fix(&t.ready, l.pos)
	}
	t.class.update(t)
}

func removeLine(h *lineHeap, l *line) {
	i, last := l.pos, len(*h)-1
	if i != last {
		h.Swap(i, last)
	}
	h.Pop()
	if i < len(*h) {
		heap.Fix(h, i)
	}
}

// Remove takes an item out without charging it. It reports whether the item
// was pending.
func (q *Queue) Remove(id structs.TaskID) bool {
	e := q.items[id]
	if e == nil {
		return false
	}
	delete(q.items, id)
	e.dead = true
	l, t := e.line, e.line.team
	l.live--
	t.depth--
	t.class.depth--
	if e.item.NotBefore > 0 {
		q.removeWaiting()
	} else {
		q.removeDue(l, e)
	}
	if l.live == 0 {
		delete(t.lines, l.key)
	}
	return true
}

func (q *Queue) removeWaiting() {
	q.deadWait++
	if q.deadWait > len(q.waiting.list)/2+32 {
		q.waiting.compact()
		q.deadWait = 0
	}
}

// removeDue updates the line of a dead entry. An entry behind the head stays
// in the heap as dead, which keeps the removal of a whole line linear.
func (q *Queue) removeDue(l *line, e *entry) {
	l.due--
	l.team.class.ready -= e.item.Cost
	if l.due == 0 {
		q.refresh(l)
		l.entries.list = nil
		return
	}
	if len(l.entries.list) > 2*l.due+32 {
		l.entries.compact()
		q.refresh(l)
		return
	}
	if l.entries.list[0] == e {
		q.refresh(l)
	}
}

// Force adds an item like Push and ignores the depth of the class. It is for
// work that was admitted before and returns.
func (q *Queue) Force(it Item) {
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
