package credits

// Stats are the values of the metrics.
type Stats struct {
	Slots       int // usable slots of the region's executors
	Granted     int // slots counted as held by instances
	Oversold    int // executors with more slots granted than they have
	Unconfirmed int // instances that have not acknowledged this owner
}

// Stats returns the current values.
func (l *Ledger) Stats() Stats {
	st := Stats{Unconfirmed: len(l.unconfirmed)}
	for _, x := range l.executors {
		held := l.Held(x.info.ID)
		st.Slots += l.usable(x)
		st.Granted += held
		if held > UsableSlots(x.info) {
			st.Oversold++
		}
	}
	return st
}
