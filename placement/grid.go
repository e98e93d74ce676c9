package placement

import (
	"math/bits"

	"github.com/mangodrum/mangodrum/structs"
)

// A grid sorts the workers of one failure domain into cells by the free
// amounts of two resources. Bit masks record which cells hold workers, so that
// a search skips empty cells. A line is a row or a column of a grid.

// gridKind determines which workers a grid holds and which resources sort them.
type gridKind uint8

const (
	noAccelGrid      gridKind = iota // workers without accelerators, by processors and memory
	accelByCPUGrid                   // workers with accelerators, by processors and memory
	accelByCountGrid                 // workers with accelerators, by accelerators and processors
	numGridKinds
)

// axis is a dimension of a grid.
type axis uint8

const (
	rows    axis = iota // processors, or accelerators in an accelByCountGrid
	columns             // memory, or processors in an accelByCountGrid
	numAxes
)

// numBuckets is the number of buckets of an axis. The bit mask of a line is one
// 64-bit word.
const numBuckets = 64

// noIndex stands for the absence of a worker, failure domain, spread key or
// task count.
const noIndex int32 = -1

// bucketOf maps an amount, in parts per million of the reference capacity, to
// a bucket: eight buckets of equal width up to 3.3%, then eight per doubling up
// to four times the reference capacity. Amounts in a higher bucket are larger.
func bucketOf(ppm int64) int {
	const linear = 1 << 15
	if ppm < linear {
		return int(max(ppm, 0) >> 12)
	}
	exponent := bits.Len64(uint64(ppm)) - 1
	fraction := int(ppm>>(exponent-3)) & 7
	return min((exponent-14)*8+fraction, numBuckets-1)
}

// bucketMidpoint returns the midpoint of a bucket in parts per million of the
// reference capacity.
func bucketMidpoint(bucket int) int64 {
	if bucket < 8 {
		return int64(bucket)<<12 + 1<<11
	}
	exponent := bucket/8 + 14
	width := int64(1) << (exponent - 3)
	return int64(1)<<exponent + int64(bucket%8)*width + width/2
}

// gridCell holds the workers of one pair of buckets in a binary search tree
// ordered by the hash of their IDs. Hashes do not depend on the order of
// insertion, so the tree stays shallow without rebalancing.
type gridCell struct {
	root      int32
	free      structs.Resources // upper bound of the free resources of its workers
	labelBits uint64            // superset of the label bits of its workers
}

// grid is one grid of a failure domain. Its cells are allocated when the first
// worker is inserted.
type grid struct {
	cells         []gridCell
	occupiedLines [numAxes]uint64             // lines of each axis that hold workers
	occupiedCells [numAxes][numBuckets]uint64 // cells of each line that hold workers
}

// position is the position of a cell in a grid.
type position struct{ row, column int }

func (p position) cellIndex() int { return p.row*numBuckets + p.column }

// treeNode holds the children of a worker in the tree of its cell, as slots or
// noIndex.
type treeNode struct{ left, right int32 }

// treeNodes holds the tree nodes of all workers in the grids of one layout,
// indexed by slot.
type treeNodes []treeNode

func (g *grid) clear() {
	for i := range g.cells {
		g.cells[i] = gridCell{root: noIndex}
	}
	g.occupiedLines = [numAxes]uint64{}
	g.occupiedCells = [numAxes][numBuckets]uint64{}
}

// at returns the cell in the given line of an axis, in the given bucket of the
// other axis.
func (g *grid) at(a axis, line, bucket int) *gridCell {
	if a == rows {
		return &g.cells[line*numBuckets+bucket]
	}
	return &g.cells[bucket*numBuckets+line]
}

func (x *Index) insertInto(g *grid, nodes treeNodes, slot int32, p position) {
	if g.cells == nil {
		g.cells = make([]gridCell, numBuckets*numBuckets)
		g.clear()
	}
	rec := &x.workers[slot]
	c := &g.cells[p.cellIndex()]
	if c.root == noIndex {
		*c = gridCell{root: noIndex}
		g.mark(p)
	}
	c.include(rec)
	nodes[slot] = treeNode{noIndex, noIndex}
	at := &c.root
	for *at != noIndex {
		at = nodes.child(*at, x.less(slot, *at))
	}
	*at = slot
}

func (c *gridCell) include(rec *workerRecord) {
	free := rec.free()
	c.free.MilliCPU = max(c.free.MilliCPU, free.MilliCPU)
	c.free.MemoryBytes = max(c.free.MemoryBytes, free.MemoryBytes)
	c.free.Accelerators = max(c.free.Accelerators, free.Accelerators)
	c.labelBits |= rec.labelBits
}

func (x *Index) removeFrom(g *grid, nodes treeNodes, slot int32, p position) {
	c := &g.cells[p.cellIndex()]
	at := &c.root
	for *at != slot {
		at = nodes.child(*at, x.less(slot, *at))
	}
	*at = nodes.join(nodes[slot].left, nodes[slot].right)
	if c.root == noIndex {
		g.unmark(p)
	}
}

// join merges two trees and returns the root. All workers of a are ordered
// before those of b.
func (t treeNodes) join(a, b int32) int32 {
	if a == noIndex || b == noIndex {
		return max(a, b)
	}
	// The first worker of b becomes the root.
	at := &b
	for t[*at].left != noIndex {
		at = &t[*at].left
	}
	first := *at
	*at = t[first].right
	t[first] = treeNode{a, b}
	return first
}

func (t treeNodes) child(slot int32, left bool) *int32 {
	if left {
		return &t[slot].left
	}
	return &t[slot].right
}

// less orders the workers of a cell. The order does not depend on the order of
// insertion, so a restored index chooses the same workers as the original.
func (x *Index) less(a, b int32) bool {
	p, q := &x.workers[a], &x.workers[b]
	if p.idHash != q.idHash {
		return p.idHash < q.idHash
	}
	return p.ID < q.ID
}

func (g *grid) mark(p position) {
	g.occupiedCells[rows][p.row] |= 1 << p.column
	g.occupiedCells[columns][p.column] |= 1 << p.row
	g.occupiedLines[rows] |= 1 << p.row
	g.occupiedLines[columns] |= 1 << p.column
}

func (g *grid) unmark(p position) {
	g.occupiedCells[rows][p.row] &^= 1 << p.column
	g.occupiedCells[columns][p.column] &^= 1 << p.row
	if g.occupiedCells[rows][p.row] == 0 {
		g.occupiedLines[rows] &^= 1 << p.row
	}
	if g.occupiedCells[columns][p.column] == 0 {
		g.occupiedLines[columns] &^= 1 << p.column
	}
}

// positionIn returns the position of free resources in a grid of kind k.
func (p referenceCapacity) positionIn(k gridKind, free structs.Resources) position {
	cpu, memory := p.ratios(free)
	if k == accelByCountGrid {
		return position{int(min(max(free.Accelerators, 0), numBuckets-1)), bucketOf(cpu)}
	}
	return position{bucketOf(cpu), bucketOf(memory)}
}

// gridKinds returns the kinds of grids that hold the worker.
func (w *workerRecord) gridKinds() []gridKind {
	if w.class == withAccelerators {
		return accelGridKinds
	}
	return noAccelGridKinds
}

var (
	noAccelGridKinds = []gridKind{noAccelGrid}
	accelGridKinds   = []gridKind{accelByCPUGrid, accelByCountGrid}
)

// layout returns the index of the trees that a grid of the kind uses: 0 for
// grids by processors and memory, 1 for grids by accelerators and processors.
// A worker is in at most one grid of each layout.
func (k gridKind) layout() int { return int(k) / int(accelByCountGrid) }

func (x *Index) insertIntoGrids(slot int32) {
	rec := &x.workers[slot]
	for _, k := range rec.gridKinds() {
		g := &x.domains.list[rec.domain].grids[k]
		x.insertInto(g, x.trees[k.layout()], slot, x.reference.positionIn(k, rec.free()))
	}
}

func (x *Index) removeFromGrids(slot int32) {
	rec := &x.workers[slot]
	for _, k := range rec.gridKinds() {
		g := &x.domains.list[rec.domain].grids[k]
		x.removeFrom(g, x.trees[k.layout()], slot, x.reference.positionIn(k, rec.free()))
	}
}
