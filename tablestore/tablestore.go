// Package tablestore defines the interface of a versioned table store. Rows
// belong to a table and a part; conditional transactions are atomic within a
// part, and a feed returns the changes of a table.
package tablestore

import "time"

// Row is a row with its version. Deleted marks a removed row in a feed.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          uint64
	Deleted          bool
}

// RowID identifies a row within a part.
type RowID struct{ Table, Key string }

// Condition requires that a row has a version. Version 0 requires that the row
// does not exist.
type Condition struct {
	Table, Key string
	Version    uint64
}

// Put writes a row.
type Put struct {
	Table, Key string
	Value      []byte
}

// Tx is a transaction: an atomic change of rows in one part, applied only if all
// conditions hold.
type Tx struct {
	Part       string
	Conditions []Condition
	Puts       []Put
	Removes    []RowID
}

// Range selects rows by key, from From inclusive to To exclusive. An empty From
// or To sets no bound.
type Range struct{ Table, Part, From, To string }

// Page is the store's answer to a call.
type Page struct {
	Rows      []Row
	More      bool          // there are rows after the last one
	Version   uint64        // newest version in the store
	StoreTime time.Duration // the store's monotonic clock
}

// Store calls the table store. Errors have one of these kinds: errs.Conflict if
// a condition failed, errs.NotRun if the call was not executed, errs.NotFound if
// a feed's history is gone, errs.InvalidInput if the call is malformed, and
// errs.OutcomeUnknown otherwise.
type Store interface {
	Commit(tx Tx, timeout time.Duration) (Page, error)
	Scan(q Range, timeout time.Duration) (Page, error)
	Follow(table string, after uint64, wait, timeout time.Duration) (Page, error)
}
