package settings

import (
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Effective holds the effective settings of one branch, including defaults and
// inherited values.
type Effective struct {
	Path            structs.TeamID
	Class           structs.ClassName
	Weight          int
	Deadline        time.Duration // 0 means the default deadline of the class
	CrossRegionCost time.Duration
	Guaranteed      structs.Resources
	BorrowLimit     structs.Resources // limit on resources beyond Guaranteed
	Requests        EffectiveRequests
	RetryBudget     float64
	RetryAttempts   int
	RetryBackoff    time.Duration
	TaskAttempts    int     // 0 means no limit
	AffinityCost    float64 // fraction of a worker's score
	Spread          bool
	MinAvailable    float64
	BatchWindow     DailyWindow
	GangReservation time.Duration
	TaskLease       time.Duration
}

// EffectiveRequests holds the effective limits on requests at one instance.
type EffectiveRequests struct {
	Concurrency int
	QueueLimit  int
	MaxBody     int64 // bytes
	Timeout     time.Duration
}

// DailyWindow is a daily time window in UTC. A window whose start equals its end
// is always open; a window whose end is before its start extends past midnight.
type DailyWindow struct {
	Start, End TimeOfDay
}

// Contains reports whether the window is open at t.
func (w DailyWindow) Contains(t structs.Timestamp) bool {
	at := t.Time()
	minute := TimeOfDay(at.Hour()*60 + at.Minute())
	if w.Start <= w.End {
		return w.Start == w.End || minute >= w.Start && minute < w.End
	}
	return minute >= w.Start || minute < w.End
}

// Next returns t if the window is open at t, and otherwise the next time at which
// it opens.
func (w DailyWindow) Next(t structs.Timestamp) structs.Timestamp {
	if w.Contains(t) {
		return t
	}
	day := t.Time().Truncate(24 * time.Hour)
	opening := day.Add(time.Duration(w.Start) * time.Minute)
	if opening.Before(t.Time()) {
		opening = opening.Add(24 * time.Hour)
	}
	return structs.TimestampOf(opening)
}

func ptr[T any](value T) *T { return &value }

// Defaults returns the values of fields that neither a branch nor its ancestors
// set.
func Defaults() Overrides {
	return Overrides{
		Weight:            ptr(100),
		CrossRegionCostMS: ptr(60),
		Quota:             Quota{Guaranteed: zeroAmounts(), Borrow: zeroAmounts()},
		Requests: Requests{
			Concurrency: ptr(256), QueueLimit: ptr(1024),
			MaxBody: ptr(Bytes(8 << 20)), Timeout: ptr(Duration(30 * time.Second)),
		},
		Retry: Retry{
			Budget: ptr(Fraction(0.1)), Attempts: ptr(3),
			Backoff: ptr(Duration(20 * time.Millisecond)), TaskAttempts: ptr(0),
		},
		Placement: Placement{AffinityCost: ptr(Fraction(0.2)), Spread: ptr(true)},
		Service:   Service{MinAvailable: ptr(Fraction(0.5))},
		Batch:     Batch{WindowStart: ptr(TimeOfDay(0)), WindowEnd: ptr(TimeOfDay(0))},
		Gang:      Gang{Reservation: ptr(Duration(10 * time.Minute))},
		Lease:     Lease{Task: ptr(Duration(30 * time.Second))},
	}
}

func zeroAmounts() Amounts {
	return Amounts{CPU: ptr(Cores(0)), Memory: ptr(Bytes(0)), Accelerators: ptr(0)}
}

// CellDefaults returns the default values of the cell's fields.
func CellDefaults() Cell {
	return Cell{ShardsPerRegion: ptr(1), AgeingPeriod: ptr(Duration(time.Minute))}
}

// EffectiveCell holds the settings of the cell, including defaults.
type EffectiveCell struct {
	ShardsPerRegion int
	AgeingPeriod    time.Duration
}

// CellSettings returns the effective settings of the cell.
func (t *Tree) CellSettings() EffectiveCell {
	var out EffectiveCell
	for _, c := range []Cell{CellDefaults(), t.Cell} {
		override(&out.ShardsPerRegion, c.ShardsPerRegion)
		overrideDuration(&out.AgeingPeriod, c.AgeingPeriod)
	}
	return out
}

// Class returns the class of the given name.
func (t *Tree) Class(name structs.ClassName) (Class, bool) {
	for _, class := range t.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// Teams returns the paths of all branches, sorted.
func (t *Tree) Teams() []structs.TeamID {
	paths := make([]structs.TeamID, len(t.Branches))
	for i, branch := range t.Branches {
		paths[i] = branch.Path
	}
	return paths
}

// find returns the index of the branch; Branches are sorted by path.
func (t *Tree) find(path structs.TeamID) (int, bool) {
	return slices.BinarySearchFunc(t.Branches, path, func(b Branch, p structs.TeamID) int {
		return strings.Compare(string(b.Path), string(p))
	})
}

// Resolve returns the effective settings of the branch.
func (t *Tree) Resolve(path structs.TeamID) (Effective, error) {
	if _, ok := t.find(path); !ok {
		return Effective{}, errs.New(errs.NotFound,
			"add the branch to the settings or use the path of an existing one", "no branch %q in the settings", path)
	}
	effective := Effective{Path: path}
	effective.apply(Defaults())
	for _, ancestor := range pathsFromRoot(path) {
		if i, ok := t.find(ancestor); ok {
			effective.apply(t.Branches[i].Overrides)
		}
	}
	return effective, nil
}

// pathsFromRoot returns the ancestors of path and path itself, starting at the
// root.
func pathsFromRoot(path structs.TeamID) []structs.TeamID {
	list := []structs.TeamID{"/"}
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			list = append(list, path[:i])
		}
	}
	if path != "/" {
		list = append(list, path)
	}
	return list
}

// parentOf returns the parent of a path other than the root.
func parentOf(path structs.TeamID) structs.TeamID {
	cut := strings.LastIndexByte(string(path), '/')
	if cut <= 0 {
		return "/"
	}
	return path[:cut]
}

func override[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

func overrideDuration(target *time.Duration, value *Duration) {
	if value != nil {
		*target = time.Duration(*value)
	}
}

func overrideFraction(target *float64, value *Fraction) {
	if value != nil {
		*target = float64(*value)
	}
}

// apply overrides the fields that s sets. Guaranteed quota is not inherited, so
// amounts that s does not set become zero.
func (e *Effective) apply(s Overrides) {
	override(&e.Class, s.Class)
	override(&e.Weight, s.Weight)
	overrideDuration(&e.Deadline, s.Deadline)
	if s.CrossRegionCostMS != nil {
		e.CrossRegionCost = time.Duration(*s.CrossRegionCostMS) * time.Millisecond
	}
	e.Guaranteed = structs.Resources{}
	s.Quota.Guaranteed.override(&e.Guaranteed)
	s.Quota.Borrow.override(&e.BorrowLimit)
	e.Requests.apply(s.Requests)
	overrideFraction(&e.RetryBudget, s.Retry.Budget)
	override(&e.RetryAttempts, s.Retry.Attempts)
	overrideDuration(&e.RetryBackoff, s.Retry.Backoff)
	override(&e.TaskAttempts, s.Retry.TaskAttempts)
	overrideFraction(&e.AffinityCost, s.Placement.AffinityCost)
	override(&e.Spread, s.Placement.Spread)
	overrideFraction(&e.MinAvailable, s.Service.MinAvailable)
	override(&e.BatchWindow.Start, s.Batch.WindowStart)
	override(&e.BatchWindow.End, s.Batch.WindowEnd)
	overrideDuration(&e.GangReservation, s.Gang.Reservation)
	overrideDuration(&e.TaskLease, s.Lease.Task)
}

func (r *EffectiveRequests) apply(s Requests) {
	override(&r.Concurrency, s.Concurrency)
	override(&r.QueueLimit, s.QueueLimit)
	if s.MaxBody != nil {
		r.MaxBody = int64(*s.MaxBody)
	}
	overrideDuration(&r.Timeout, s.Timeout)
}

func (a Amounts) override(target *structs.Resources) {
	if a.CPU != nil {
		target.MilliCPU = int64(*a.CPU)
	}
	if a.Memory != nil {
		target.MemoryBytes = int64(*a.Memory)
	}
	if a.Accelerators != nil {
		target.Accelerators = int64(*a.Accelerators)
	}
}
