package placement

import (
	"math"
	"math/bits"
)

// anySurplus admits every cell to a pass.
const anySurplus = math.MinInt64

// searchAllowed looks through the allowed domains. Workers with accelerators
// are considered for a task that needs none only if no other worker fits.
func (x *Index) searchAllowed() {
	s := &x.search
	if s.req.Resources.Accelerators > 0 {
		x.pass(accelGrid, rows, anySurplus)
		return
	}
	a := rows
	surplus := s.scale.surplus(s.req.Resources)
	if surplus < 0 {
		a, surplus = columns, -surplus
	}
	for _, k := range [...]kind{plainGrid, sharedGrid} {
		s.fitting = 0
		// A service that has tasks in these domains needs a worker without
		// one more than a balanced one.
		if s.level > 0 {
			surplus = anySurplus
		}
		if x.pass(k, a, surplus) {
			return
		}
	}
}

// pass looks for a worker in the grids of the kind and reports whether one
// fits. It takes the lines of the axis in ascending order of the resource of
// which the task needs more than of the other, first the cells with at least
// the given surplus of it, then those with any surplus, then the others. A
// task thus goes to workers that it brings closer to balance first, and among
// them to the one with the least of the resource.
func (x *Index) pass(k kind, a axis, surplus int64) bool {
	s := &x.search
	need := s.scale.positionIn(k, s.req.Resources)
	first, low := need.row, need.column
	if a == columns {
		first, low = need.column, need.row
	}
	var withSurplus, others uint64 // lines with cells that were not searched
	for lines := x.occupied(k, a) >> first << first; lines != 0; lines &= lines - 1 {
		line := bits.TrailingZeros64(lines)
		s.visits++
		cells := x.line(k, a, line) >> low << low
		preferred := cells
		if surplus != anySurplus {
			preferred &= upTo(middles[line] - surplus)
		}
		if x.searchLine(k, a, line, preferred) {
			return true
		}
		s.cells[line] = cells &^ preferred
		if s.cells[line]&balanced[line] != 0 {
			withSurplus |= 1 << line
		}
		if s.cells[line] != 0 {
			others |= 1 << line
		}
	}
	return x.searchRest(k, a, withSurplus, others)
}

// searchRest looks through the cells that the search for the full surplus
// left out.
func (x *Index) searchRest(k kind, a axis, withSurplus, others uint64) bool {
	s := &x.search
	for ; withSurplus != 0; withSurplus &= withSurplus - 1 {
		line := bits.TrailingZeros64(withSurplus)
		s.visits++
		if x.searchLine(k, a, line, s.cells[line]&balanced[line]) {
			return true
		}
		s.cells[line] &^= balanced[line]
	}
	for ; others != 0; others &= others - 1 {
		line := bits.TrailingZeros64(others)
		s.visits++
		if x.searchLine(k, a, line, s.cells[line]) {
			return true
		}
	}
	return s.best.slot != none
}

// searchLine looks through the given cells of a line. It returns true when no
// better worker needs to be looked for.
func (x *Index) searchLine(k kind, a axis, line int, cells uint64) bool {
	for ; cells != 0; cells &= cells - 1 {
		if x.searchCell(k, a, line, bits.TrailingZeros64(cells)) {
			return true
		}
	}
	return false
}

// upTo returns the buckets up to that of the amount.
func upTo(ppm int64) uint64 {
	if ppm < 0 {
		return 0
	}
	return math.MaxUint64 >> (buckets - 1 - bucketOf(ppm))
}

// middles holds the middle of every bucket, and balanced the cells of every
// line whose other resource is not above that of the line.
var middles, balanced = lineTables()

func lineTables() (middles [buckets]int64, balanced [buckets]uint64) {
	for line := range buckets {
		middles[line] = middleOf(line)
		balanced[line] = upTo(middles[line])
	}
	return middles, balanced
}

// occupied returns the lines that hold workers in any allowed domain.
func (x *Index) occupied(k kind, a axis) uint64 {
	var lines uint64
	for _, d := range x.search.allowed {
		lines |= x.domains.list[d].grids[k].occupied[a]
	}
	return lines
}

// line returns the cells of a line that hold workers in any allowed domain.
func (x *Index) line(k kind, a axis, line int) uint64 {
	var cells uint64
	for _, d := range x.search.allowed {
		cells |= x.domains.list[d].grids[k].lines[a][line]
	}
	return cells
}

// searchCell looks through one cell in all allowed domains. It returns true
// when no better worker needs to be looked for.
func (x *Index) searchCell(k kind, a axis, line, bucket int) bool {
	s := &x.search
	for _, d := range s.allowed {
		g := &x.domains.list[d].grids[k]
		if g.lines[a][line]&(1<<bucket) == 0 {
			continue
		}
		c := g.at(a, line, bucket)
		if s.req.Resources.Fits(c.free) && s.labels&c.labels == s.labels {
			x.searchWorkers(c, x.links[k.layout()])
		}
	}
	return s.best.slot != none && (s.best.tasks == 0 || s.fitting >= spreadLimit)
}

// searchWorkers looks through the workers of a cell. If none fits, the bounds
// of the cell are tightened, so that the next search like this one skips it.
func (x *Index) searchWorkers(c *cell, l links) {
	before := x.search.fitting
	x.walk(l, c.root)
	if x.search.fitting == before {
		*c = cell{root: c.root}
		x.bound(c, l, c.root)
	}
}

func (x *Index) bound(c *cell, l links, n int32) {
	if n == none {
		return
	}
	c.include(&x.workers[n])
	x.bound(c, l, l[n].left)
	x.bound(c, l, l[n].right)
}

// walk considers the workers below n in order, until enough fit.
func (x *Index) walk(l links, n int32) bool {
	if n == none {
		return false
	}
	return x.walk(l, l[n].left) || x.consider(n) || x.walk(l, l[n].right)
}

// consider scores the worker if it fits, and reports whether the walk through
// its cell can end.
func (x *Index) consider(n int32) bool {
	s := &x.search
	s.visits++
	rec := &x.workers[n]
	if !s.req.Resources.Fits(rec.free()) || s.labels&rec.labels != s.labels || !allowsWorker(&s.req.Constraint, rec) {
		return false
	}
	s.fitting++
	c := choice{slot: n, tasks: rec.onWorker(s.key), score: s.score(rec)}
	if x.better(c, s.best) {
		s.best = c
	}
	return s.enough()
}

// enough reports whether no better worker needs to be looked for.
func (s *search) enough() bool {
	return s.fitting >= spreadLimit || s.fitting >= candidateLimit && s.best.tasks == 0
}

func (x *Index) better(c, best choice) bool {
	if best.slot == none || c.tasks != best.tasks {
		return best.slot == none || c.tasks < best.tasks
	}
	if c.score != best.score {
		return c.score > best.score
	}
	return x.before(c.slot, best.slot)
}
