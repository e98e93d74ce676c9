package placement

import (
	"math"
	"math/bits"
)

// anySurplus makes searchGrids accept cells with any surplus.
const anySurplus = math.MinInt64

// searchSelected searches the selected domains. For a task that needs no
// accelerator, workers with accelerators are searched only if no other worker
// fits.
func (x *Index) searchSelected() {
	s := &x.search
	if s.req.Resources.Accelerators > 0 {
		x.searchGrids(accelByCountGrid, rows, anySurplus)
		return
	}
	a := rows
	surplus := s.reference.cpuSurplus(s.req.Resources)
	if surplus < 0 {
		a, surplus = columns, -surplus
	}
	for _, k := range [...]gridKind{noAccelGrid, accelByCPUGrid} {
		s.fitting = 0
		// For a service that already has tasks in these domains, a worker
		// without such a task matters more than a balanced one.
		if s.domainTasks > 0 {
			surplus = anySurplus
		}
		if x.searchGrids(k, a, surplus) {
			return
		}
	}
}

// searchGrids searches the grids of kind k and reports whether a worker fits.
// Axis a is that of the resource of which the task needs relatively more.
// Lines are searched in ascending order of that resource: first the cells with
// at least the given surplus of it over the other resource, then those with
// any surplus, then the others. Workers that the task brings closer to balance
// are thus found first, and among them the one with the least of the resource.
func (x *Index) searchGrids(k gridKind, a axis, surplus int64) bool {
	s := &x.search
	need := s.reference.positionIn(k, s.req.Resources)
	first, low := need.row, need.column
	if a == columns {
		first, low = need.column, need.row
	}
	var withSurplus, others uint64 // lines with cells not searched yet
	for lines := x.occupiedLines(k, a) >> first << first; lines != 0; lines &= lines - 1 {
		line := bits.TrailingZeros64(lines)
		s.visits++
		cells := x.occupiedCells(k, a, line) >> low << low
		preferred := cells
		if surplus != anySurplus {
			preferred &= bucketsUpTo(bucketMidpoints[line] - surplus)
		}
		if x.searchLine(k, a, line, preferred) {
			return true
		}
		s.unsearched[line] = cells &^ preferred
		if s.unsearched[line]&nonNegativeSurplus[line] != 0 {
			withSurplus |= 1 << line
		}
		if s.unsearched[line] != 0 {
			others |= 1 << line
		}
	}
	return x.searchRemaining(k, a, withSurplus, others)
}

// searchRemaining searches the cells that have less than the full surplus.
func (x *Index) searchRemaining(k gridKind, a axis, withSurplus, others uint64) bool {
	s := &x.search
	for ; withSurplus != 0; withSurplus &= withSurplus - 1 {
		line := bits.TrailingZeros64(withSurplus)
		s.visits++
		if x.searchLine(k, a, line, s.unsearched[line]&nonNegativeSurplus[line]) {
			return true
		}
		s.unsearched[line] &^= nonNegativeSurplus[line]
	}
	for ; others != 0; others &= others - 1 {
		line := bits.TrailingZeros64(others)
		s.visits++
		if x.searchLine(k, a, line, s.unsearched[line]) {
			return true
		}
	}
	return s.best.slot != noIndex
}

// searchLine searches the given cells of a line. It returns true if the search
// can stop.
func (x *Index) searchLine(k gridKind, a axis, line int, cells uint64) bool {
	for ; cells != 0; cells &= cells - 1 {
		if x.searchCell(k, a, line, bits.TrailingZeros64(cells)) {
			return true
		}
	}
	return false
}

// bucketsUpTo returns a bit mask of the buckets up to that of the amount.
func bucketsUpTo(ppm int64) uint64 {
	if ppm < 0 {
		return 0
	}
	return math.MaxUint64 >> (numBuckets - 1 - bucketOf(ppm))
}

// bucketMidpoints holds the midpoint of every bucket. nonNegativeSurplus holds,
// for every line, the cells whose other resource is not above that of the line.
var bucketMidpoints, nonNegativeSurplus = lineTables()

func lineTables() (midpoints [numBuckets]int64, nonNegative [numBuckets]uint64) {
	for line := range numBuckets {
		midpoints[line] = bucketMidpoint(line)
		nonNegative[line] = bucketsUpTo(midpoints[line])
	}
	return midpoints, nonNegative
}

// occupiedLines returns the lines that hold workers in any selected domain.
func (x *Index) occupiedLines(k gridKind, a axis) uint64 {
	var lines uint64
	for _, d := range x.search.selected {
		lines |= x.domains.list[d].grids[k].occupiedLines[a]
	}
	return lines
}

// occupiedCells returns the cells of a line that hold workers in any selected
// domain.
func (x *Index) occupiedCells(k gridKind, a axis, line int) uint64 {
	var cells uint64
	for _, d := range x.search.selected {
		cells |= x.domains.list[d].grids[k].occupiedCells[a][line]
	}
	return cells
}

// searchCell searches one cell in all selected domains. It returns true if the
// search can stop.
func (x *Index) searchCell(k gridKind, a axis, line, bucket int) bool {
	s := &x.search
	for _, d := range s.selected {
		g := &x.domains.list[d].grids[k]
		if g.occupiedCells[a][line]&(1<<bucket) == 0 {
			continue
		}
		c := g.at(a, line, bucket)
		if s.req.Resources.Fits(c.free) && s.labelBits&c.labelBits == s.labelBits {
			x.searchWorkers(c, x.trees[k.layout()])
		}
	}
	return s.best.slot != noIndex && (s.best.tasks == 0 || s.fitting >= spreadLimit)
}

// searchWorkers searches the workers of a cell. If none fits, it recomputes the
// bounds of the cell, so that the next search like this one skips it.
func (x *Index) searchWorkers(c *gridCell, nodes treeNodes) {
	before := x.search.fitting
	x.searchSubtree(nodes, c.root)
	if x.search.fitting == before {
		*c = gridCell{root: c.root}
		x.recomputeBounds(c, nodes, c.root)
	}
}

func (x *Index) recomputeBounds(c *gridCell, nodes treeNodes, slot int32) {
	if slot == noIndex {
		return
	}
	c.include(&x.workers[slot])
	x.recomputeBounds(c, nodes, nodes[slot].left)
	x.recomputeBounds(c, nodes, nodes[slot].right)
}

// searchSubtree evaluates the workers of the subtree at slot in order. It
// returns true if the search of the cell can stop.
func (x *Index) searchSubtree(nodes treeNodes, slot int32) bool {
	if slot == noIndex {
		return false
	}
	return x.searchSubtree(nodes, nodes[slot].left) || x.evaluate(slot) || x.searchSubtree(nodes, nodes[slot].right)
}

// evaluate scores the worker if it fits, and reports whether the search of its
// cell can stop.
func (x *Index) evaluate(slot int32) bool {
	s := &x.search
	s.visits++
	rec := &x.workers[slot]
	if !s.req.Resources.Fits(rec.free()) || s.labelBits&rec.labelBits != s.labelBits || !allowsWorker(&s.req.Constraint, rec) {
		return false
	}
	s.fitting++
	c := choice{slot: slot, tasks: rec.tasksWithKey(s.key), score: s.score(rec)}
	if x.better(c, s.best) {
		s.best = c
	}
	return s.canStop()
}

// canStop reports whether enough fitting workers were compared.
func (s *search) canStop() bool {
	return s.fitting >= spreadLimit || s.fitting >= candidateLimit && s.best.tasks == 0
}

func (x *Index) better(c, best choice) bool {
	if best.slot == noIndex || c.tasks != best.tasks {
		return best.slot == noIndex || c.tasks < best.tasks
	}
	if c.score != best.score {
		return c.score > best.score
	}
	return x.less(c.slot, best.slot)
}
