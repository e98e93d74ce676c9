package placement

// keyCount counts the tasks of one spread key on a worker.
type keyCount struct {
	key   int32
	tasks int32
}

// spreadTable counts the tasks of each spread key per failure domain.
type spreadTable struct {
	byKey  map[string]int32
	list   []keyUsage
	unused []int32
}

type keyUsage struct {
	total    int32
	byDomain []int32 // indexed by failure domain; may be shorter than the list of domains
}

func (c *keyUsage) inDomain(domain int32) int32 {
	if int(domain) >= len(c.byDomain) {
		return 0
	}
	return c.byDomain[domain]
}

func (c *keyUsage) add(domain, n int32) {
	for int(domain) >= len(c.byDomain) {
		c.byDomain = append(c.byDomain, 0)
	}
	c.byDomain[domain] += n
}

// lookup returns the index of the key, or noIndex if no task has it.
func (t *spreadTable) lookup(key string) int32 {
	if key == "" {
		return noIndex
	}
	if n, ok := t.byKey[key]; ok {
		return n
	}
	return noIndex
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
		t.list = append(t.list, keyUsage{})
	}
	t.byKey[key] = n
	return n
}

func (t *spreadTable) remove(key string, n int32) {
	delete(t.byKey, key)
	clear(t.list[n].byDomain)
	t.unused = append(t.unused, n)
}

func (x *Index) addSpreadTask(rec *workerRecord, key string) {
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
			rec.spread[i].tasks++
			return
		}
	}
	rec.spread = append(rec.spread, keyCount{key: k, tasks: 1})
}

func (x *Index) removeSpreadTask(rec *workerRecord, key string) {
	k := x.spreads.lookup(key)
	if k == noIndex {
		return
	}
	for i := range rec.spread {
		if rec.spread[i].key == k {
			x.removeSpreadTaskAt(rec, i, key)
			return
		}
	}
}

func (x *Index) removeSpreadTaskAt(rec *workerRecord, i int, key string) {
	k := rec.spread[i].key
	rec.spread[i].tasks--
	if rec.spread[i].tasks == 0 {
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
		x.spreads.remove(key, k)
	}
}

// adjustDomainCounts adds the worker's tasks to the counts of its failure
// domain (sign +1) or subtracts them (sign -1).
func (x *Index) adjustDomainCounts(rec *workerRecord, sign int32) {
	for _, c := range rec.spread {
		x.spreads.list[c.key].add(rec.domain, sign*c.tasks)
	}
}

// tasksWithKey returns how many tasks with the spread key run on the worker.
func (w *workerRecord) tasksWithKey(key int32) int32 {
	if key == noIndex {
		return 0
	}
	for _, c := range w.spread {
		if c.key == key {
			return c.tasks
		}
	}
	return 0
}
