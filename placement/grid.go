package placement

import (
	"math/bits"

	"github.com/mangodrum/mangodrum/structs"
)

// A grid sorts the workers of one failure domain into cells by the free
// amounts of two resources. Rows of bits tell which cells hold workers, so
// that a search steps over empty cells without a look at any worker.

// kind tells which workers a grid holds and by what it sorts them.
type kind uint8

const (
	plainGrid  kind = iota // workers without accelerators, by processors and memory
	sharedGrid             // workers with accelerators, by processors and memory
	accelGrid              // workers with accelerators, by accelerators and processors
	kinds
)

// axis is a dimension of a grid.
type axis uint8

const (
	rows    axis = iota // processors, or accelerators in an accelGrid
	columns             // memory, or processors in an accelGrid
	axes
)

// buckets is the number of buckets of an axis; a row of cells is one word.
const buckets = 64

// none is the index of no worker.
const none int32 = -1

// bucketOf sorts parts per million of the proportion into buckets, in rising
// order: eight equal ones up to 3.3%, then eight per doubling up to four
// times the mean worker. Whatever is in a higher bucket is larger.
func bucketOf(ppm int64) int {
	const linear = 1 << 15
	if ppm < linear {
		return int(max(ppm, 0) >> 12)
	}
	exponent := bits.Len64(uint64(ppm)) - 1
	fraction := int(ppm>>(exponent-3)) & 7
	return min((exponent-14)*8+fraction, buckets-1)
}

// middleOf returns the middle of a bucket in parts per million.
func middleOf(bucket int) int64 {
	if bucket < 8 {
		return int64(bucket)<<12 + 1<<11
	}
	exponent := bucket/8 + 14
	width := int64(1) << (exponent - 3)
	return int64(1)<<exponent + int64(bucket%8)*width + width/2
}

// cell holds the workers of one pair of buckets in a search tree ordered by
// the hash of their IDs. Hashes are in no order in time, so the tree stays
// shallow without rebalancing.
type cell struct {
	root   int32
	free   structs.Resources // at least the largest free amounts of its workers
	labels uint64            // at least the labels of its workers
}

// grid is one grid of a failure domain. Its cells exist once it held a worker.
type grid struct {
	cells    []cell
	occupied [axes]uint64          // rows, and columns, that hold workers
	lines    [axes][buckets]uint64 // occupied cells of every row, and column
}

// position is the cell of a worker in a grid.
type position struct{ row, column int }

func (p position) cell() int { return p.row*buckets + p.column }

// link is a worker's place in the tree of its cell.
type link struct{ left, right int32 }

// links holds the places of all workers in grids of one layout, by slot.
type links []link

func (g *grid) clear() {
	for i := range g.cells {
		g.cells[i] = cell{root: none}
	}
	g.occupied = [axes]uint64{}
	g.lines = [axes][buckets]uint64{}
}

// at returns the cell in the given line of an axis and the given bucket of
// the other axis.
func (g *grid) at(a axis, line, bucket int) *cell {
	if a == rows {
		return &g.cells[line*buckets+bucket]
	}
	return &g.cells[bucket*buckets+line]
}

func (x *Index) insertInto(g *grid, l links, n int32, p position) {
	if g.cells == nil {
		g.cells = make([]cell, buckets*buckets)
		g.clear()
	}
	rec := &x.workers[n]
	c := &g.cells[p.cell()]
	if c.root == none {
		*c = cell{root: none}
		g.mark(p)
	}
	c.include(rec)
	l[n] = link{none, none}
	at := &c.root
	for *at != none {
		at = l.towards(*at, x.before(n, *at))
	}
	*at = n
}

func (c *cell) include(rec *worker) {
	free := rec.free()
	c.free.MilliCPU = max(c.free.MilliCPU, free.MilliCPU)
	c.free.MemoryBytes = max(c.free.MemoryBytes, free.MemoryBytes)
	c.free.Accelerators = max(c.free.Accelerators, free.Accelerators)
	c.labels |= rec.labels
}

func (x *Index) removeFrom(g *grid, l links, n int32, p position) {
	c := &g.cells[p.cell()]
	at := &c.root
	for *at != n {
		at = l.towards(*at, x.before(n, *at))
	}
	*at = l.join(l[n].left, l[n].right)
	if c.root == none {
		g.unmark(p)
	}
}

// join returns the tree of two trees of which a is before b.
func (l links) join(a, b int32) int32 {
	if a == none || b == none {
		return max(a, b)
	}
	// The first worker of b takes the place of the removed one.
	at := &b
	for l[*at].left != none {
		at = &l[*at].left
	}
	first := *at
	*at = l[first].right
	l[first] = link{a, b}
	return first
}

func (l links) towards(n int32, left bool) *int32 {
	if left {
		return &l[n].left
	}
	return &l[n].right
}

// before orders the workers of a cell. The order does not depend on when they
// came, so a restored index chooses like the original.
func (x *Index) before(a, b int32) bool {
	p, q := &x.workers[a], &x.workers[b]
	if p.priority != q.priority {
		return p.priority < q.priority
	}
	return p.ID < q.ID
}

func (g *grid) mark(p position) {
	g.lines[rows][p.row] |= 1 << p.column
	g.lines[columns][p.column] |= 1 << p.row
	g.occupied[rows] |= 1 << p.row
	g.occupied[columns] |= 1 << p.column
}

func (g *grid) unmark(p position) {
	g.lines[rows][p.row] &^= 1 << p.column
	g.lines[columns][p.column] &^= 1 << p.row
	if g.lines[rows][p.row] == 0 {
		g.occupied[rows] &^= 1 << p.row
	}
	if g.lines[columns][p.column] == 0 {
		g.occupied[columns] &^= 1 << p.column
	}
}

// positionIn returns the cell for free resources in a grid of the kind.
func (p proportion) positionIn(k kind, free structs.Resources) position {
	cpu, memory := p.shares(free)
	if k == accelGrid {
		return position{int(min(max(free.Accelerators, 0), buckets-1)), bucketOf(cpu)}
	}
	return position{bucketOf(cpu), bucketOf(memory)}
}

// kindsOf returns the grids that hold the worker.
func (w *worker) kindsOf() []kind {
	if w.class == withAccelerators {
		return accelKinds
	}
	return plainKinds
}

var (
	plainKinds = []kind{plainGrid}
	accelKinds = []kind{sharedGrid, accelGrid}
)

// layout returns which links a grid of the kind uses. A worker is in at most
// one grid of each layout.
func (k kind) layout() int { return int(k) / int(accelGrid) }

func (x *Index) insertIntoGrids(n int32) {
	rec := &x.workers[n]
	for _, k := range rec.kindsOf() {
		g := &x.domains.list[rec.domain].grids[k]
		x.insertInto(g, x.links[k.layout()], n, x.scale.positionIn(k, rec.free()))
	}
}

func (x *Index) removeFromGrids(n int32) {
	rec := &x.workers[n]
	for _, k := range rec.kindsOf() {
		g := &x.domains.list[rec.domain].grids[k]
		x.removeFrom(g, x.links[k.layout()], n, x.scale.positionIn(k, rec.free()))
	}
}
