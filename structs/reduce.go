package structs

// Event is an input of a reducer, a state machine without I/O.
type Event interface {
	// Kind returns the label of the event in metrics. It is constant for each type.
	Kind() string
}

// Effect is an output of a reducer. It describes an action for the code around
// the reducer to perform.
type Effect interface {
	// Kind returns the label of the effect in metrics. It is constant for each
	// type.
	Kind() string
}
