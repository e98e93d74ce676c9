package structs

// Event is an input of a reducer.
type Event interface {
	// Kind names the event in counters; it is a constant of the type.
	Kind() string
}

// Effect is an output of a reducer: data that the shell carries out.
type Effect interface {
	// Kind names the effect in counters; it is a constant of the type.
	Kind() string
}
