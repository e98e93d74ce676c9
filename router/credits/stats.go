package credits

// Stats are the values of the metrics.
type Stats struct {
	Slots                  int // usable slots of the region's executors
	GrantedSlots           int // slots counted as held by instances
	OvercommittedExecutors int // executors with more slots granted than they have
	Unconfirmed            int // instances that have not acknowledged this owner
}

// Stats returns the current values.
func (l *Ledger) Stats() Stats {
	st := Stats{Unconfirmed: len(l.unconfirmed)}
	for _, x := range l.executors {
		held := l.HeldSlots(x.info.ID)
		st.Slots += l.usable(x)
		st.GrantedSlots += held
		if held > UsableSlots(x.info) {
			st.OvercommittedExecutors++
		}
	}
	return st
}
