package placement

// keyCount counts the tasks of one spread key on a worker.
type keyCount struct {
	key int32
	n   int32
}

// spreadTable counts the tasks of each spread key per failure domain.
type spreadTable struct {
	byKey  map[string]int32
	list   []spreadCounts
	unused []int32
}

type spreadCounts struct {
	total    int32
	byDomain []int32 // may be shorter than the list of domains
}

func (c *spreadCounts) inDomain(domain int32) int32 {
	if int(domain) >= len(c.byDomain) {
		return 0
	}
	return c.byDomain[domain]
}

func (c *spreadCounts) add(domain, n int32) {
	for int(domain) >= len(c.byDomain) {
		c.byDomain = append(c.byDomain, 0)
	}
	c.byDomain[domain] += n
}

// lookup returns the number of the key, or none if no task has it.
func (t *spreadTable) lookup(key string) int32 {
	if key == "" {
		return none
	}
	if n, ok := t.byKey[key]; ok {
		return n
	}
	return none
}

func (t *spreadTable) intern(key string) int32 {
	if n, ok := t.byKey[key]; ok {
		return n
	}
	n := int32(len(t.list))
	if last := len(t.unused) - 1; last >= 0 {
		n = t.unused[last]
		t.unused = t.unused[:last]
	} else {
		t.list = append(t.list, spreadCounts{})
	}
	t.byKey[key] = n
	return n
}

func (t *spreadTable) forget(key string, n int32) {
	delete(t.byKey, key)
	clear(t.list[n].byDomain)
	t.unused = append(t.unused, n)
}

func (x *Index) count(rec *worker, key string) {
	if key == "" {
		return
	}
	k := x.spreads.intern(key)
	x.spreads.list[k].total++
	if rec.listed {
		x.spreads.list[k].add(rec.domain, 1)
	}
	for i := range rec.spread {
		if rec.spread[i].key == k {
			rec.spread[i].n++
			return
		}
	}
	rec.spread = append(rec.spread, keyCount{key: k, n: 1})
}

func (x *Index) uncount(rec *worker, key string) {
	k := x.spreads.lookup(key)
	if k == none {
		return
	}
	for i := range rec.spread {
		if rec.spread[i].key == k {
			x.uncountAt(rec, i, key)
			return
		}
	}
}

func (x *Index) uncountAt(rec *worker, i int, key string) {
	k := rec.spread[i].key
	rec.spread[i].n--
	if rec.spread[i].n == 0 {
		last := len(rec.spread) - 1
		rec.spread[i] = rec.spread[last]
		rec.spread = rec.spread[:last]
	}
	counts := &x.spreads.list[k]
	if rec.listed {
		counts.add(rec.domain, -1)
	}
	counts.total--
	if counts.total == 0 {
		x.spreads.forget(key, k)
	}
}

// moveSpread adds the worker's tasks to the counts of its domain (sign +1) or
// takes them out (sign -1).
func (x *Index) moveSpread(rec *worker, sign int32) {
	for _, c := range rec.spread {
		x.spreads.list[c.key].add(rec.domain, sign*c.n)
	}
}

// onWorker returns how many tasks of the key run on the worker.
func (w *worker) onWorker(key int32) int32 {
	if key == none {
		return 0
	}
	for _, c := range w.spread {
		if c.key == key {
			return c.n
		}
	}
	return 0
}
