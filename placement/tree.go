package placement

import (
	"math/bits"

	"github.com/mangodrum/mangodrum/structs"
)

// dimension is the resource that a tree is ordered by.
type dimension uint8

const (
	byCPU dimension = iota
	byMemory
	byAccelerators
	dimensions
)

// accelClass separates workers without accelerators from those with some, so
// that tasks that need none can avoid the latter.
type accelClass uint8

const (
	withoutAccelerators accelClass = iota
	withAccelerators
	accelClasses
)

// none is the index of no node.
const none int32 = -1

// summary bounds what the workers of a subtree offer: the largest free amount
// of each resource, the largest surplus, and the union of their domain and
// label bits.
type summary struct {
	free    structs.Resources
	surplus int64 // of the tree's resource over the other; see proportion
	domains uint64
	labels  uint64
}

func (s *summary) include(o *summary) {
	s.free.MilliCPU = max(s.free.MilliCPU, o.free.MilliCPU)
	s.free.MemoryBytes = max(s.free.MemoryBytes, o.free.MemoryBytes)
	s.free.Accelerators = max(s.free.Accelerators, o.free.Accelerators)
	s.surplus = max(s.surplus, o.surplus)
	s.domains |= o.domains
	s.labels |= o.labels
}

// node is a worker's place in one tree. The index of a node is the slot of
// its worker.
type node struct {
	left, right int32
	priority    uint64 // hash of the worker's ID; heap order, and tie-break of the key order
	first       int64  // free amount of the tree's dimension
	second      int64  // free amount of a second resource, which orders equal first amounts
	own         summary
	subtree     summary
}

// tree is a treap per accelerator class over the workers that may take new
// work, in ascending order of one free resource. Its shape depends only on
// the set of workers and their free resources, not on the order of updates.
type tree struct {
	dim   dimension
	nodes []node
	roots [accelClasses]int32
}

// less orders equal free amounts by the reversed bits of the priority. With the
// priority itself the order of equal workers would be the heap order as well,
// and workers of one shape would form a chain.
func (t *tree) less(a, b int32) bool {
	p, q := &t.nodes[a], &t.nodes[b]
	if p.first != q.first {
		return p.first < q.first
	}
	if p.second != q.second {
		return p.second < q.second
	}
	if x, y := bits.Reverse64(p.priority), bits.Reverse64(q.priority); x != y {
		return x < y
	}
	return a < b
}

func (t *tree) above(a, b int32) bool {
	p, q := &t.nodes[a], &t.nodes[b]
	if p.priority != q.priority {
		return p.priority > q.priority
	}
	return a < b
}

func (t *tree) insert(class accelClass, n int32, priority uint64, own summary, p proportion) {
	own.surplus = p.surplus(t.dim, own.free)
	first, second := t.keys(own.free)
	t.nodes[n] = node{left: none, right: none, priority: priority, first: first, second: second, own: own, subtree: own}
	t.roots[class] = t.insertBelow(t.roots[class], n)
}

func (t *tree) keys(free structs.Resources) (first, second int64) {
	switch t.dim {
	case byMemory:
		return free.MemoryBytes, free.MilliCPU
	case byAccelerators:
		return free.Accelerators, free.MilliCPU
	default:
		return free.MilliCPU, free.MemoryBytes
	}
}

func (t *tree) insertBelow(root, n int32) int32 {
	if root == none {
		return n
	}
	if t.above(n, root) {
		t.nodes[n].left, t.nodes[n].right = t.split(root, n)
		t.pull(n)
		return n
	}
	if t.less(n, root) {
		t.nodes[root].left = t.insertBelow(t.nodes[root].left, n)
	} else {
		t.nodes[root].right = t.insertBelow(t.nodes[root].right, n)
	}
	t.pull(root)
	return root
}

// split divides the tree below root into the nodes before and after n.
func (t *tree) split(root, n int32) (before, after int32) {
	if root == none {
		return none, none
	}
	if t.less(root, n) {
		t.nodes[root].right, after = t.split(t.nodes[root].right, n)
		t.pull(root)
		return root, after
	}
	before, t.nodes[root].left = t.split(t.nodes[root].left, n)
	t.pull(root)
	return before, root
}

func (t *tree) remove(class accelClass, n int32) {
	t.roots[class] = t.removeBelow(t.roots[class], n)
}

func (t *tree) removeBelow(root, n int32) int32 {
	if root == n {
		return t.merge(t.nodes[n].left, t.nodes[n].right)
	}
	if t.less(n, root) {
		t.nodes[root].left = t.removeBelow(t.nodes[root].left, n)
	} else {
		t.nodes[root].right = t.removeBelow(t.nodes[root].right, n)
	}
	t.pull(root)
	return root
}

// merge joins two trees of which every node of a is before every node of b.
func (t *tree) merge(a, b int32) int32 {
	if a == none {
		return b
	}
	if b == none {
		return a
	}
	if t.above(a, b) {
		t.nodes[a].right = t.merge(t.nodes[a].right, b)
		t.pull(a)
		return a
	}
	t.nodes[b].left = t.merge(a, t.nodes[b].left)
	t.pull(b)
	return b
}

// pull recomputes the summary of n from its children.
func (t *tree) pull(n int32) {
	p := &t.nodes[n]
	p.subtree = p.own
	if p.left != none {
		p.subtree.include(&t.nodes[p.left].subtree)
	}
	if p.right != none {
		p.subtree.include(&t.nodes[p.right].subtree)
	}
}
