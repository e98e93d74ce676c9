package placement

import (
	"cmp"
	"slices"

	"github.com/mangodrum/mangodrum/structs"
)

type domainKey struct {
	region structs.Region
	domain structs.FailureDomain
}

func (k domainKey) compare(o domainKey) int {
	return cmp.Or(cmp.Compare(k.region, o.region), cmp.Compare(k.domain, o.domain))
}

type domain struct {
	domainKey
	usage Usage              // of the listed workers, including those that accept no new work
	grids [numGridKinds]grid // hold the workers that accept new work
}

// domainTable assigns an index to each failure domain on first use.
type domainTable struct {
	byLocation map[domainKey]int32
	list       []domain
	order      []int32 // indexes into list, sorted by region and name
}

func (t *domainTable) intern(key domainKey) int32 {
	if n, ok := t.byLocation[key]; ok {
		return n
	}
	n := int32(len(t.list))
	t.list = append(t.list, domain{domainKey: key})
	t.byLocation[key] = n
	t.order = append(t.order, n)
	slices.SortFunc(t.order, func(a, b int32) int { return t.list[a].compare(t.list[b].domainKey) })
	return n
}

// DomainUsage holds the capacity and the reservations of a failure domain.
type DomainUsage struct {
	Region        structs.Region
	FailureDomain structs.FailureDomain
	Usage
}

// Domains returns the usage of every failure domain with listed workers,
// sorted by region and name. It includes workers that accept no new work.
func (x *Index) Domains() []DomainUsage {
	var list []DomainUsage
	for _, i := range x.domains.order {
		d := &x.domains.list[i]
		if d.usage.Workers > 0 {
			list = append(list, DomainUsage{d.region, d.domain, d.usage})
		}
	}
	return list
}
