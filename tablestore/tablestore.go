// Package tablestore is the interface of a versioned table store: rows in
// tables and parts, atomic conditional transactions within a part, and feeds
// of changes.
package tablestore

import "time"

// Row is one row with its version. Deleted marks a removed row in a feed.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          uint64
	Deleted          bool
}

// Name identifies a row within a part.
type Name struct{ Table, Key string }

// Condition demands a version of a row; 0 demands that the row is absent.
type Condition struct {
	Table, Key string
	Version    uint64
}

// Put writes a row.
type Put struct {
	Table, Key string
	Value      []byte
}

// Tx is an atomic change of rows in one part.
type Tx struct {
	Part       string
	Conditions []Condition
	Puts       []Put
	Removes    []Name
}

// Range selects rows by key: From is included, To is not; empty is unbounded.
type Range struct{ Table, Part, From, To string }

// Page is an answer of the store.
type Page struct {
	Rows      []Row
	More      bool          // further rows follow the last key
	Version   uint64        // the newest version of the store
	StoreTime time.Duration // the store's steady clock
}

// Store calls the table store. Errors are of kind errs.Conflict when a
// condition failed, errs.NotRun when nothing was done, errs.NotFound when a
// feed's history is gone, and errs.OutcomeUnknown otherwise.
type Store interface {
	Commit(tx Tx, timeout time.Duration) (Page, error)
	Scan(q Range, timeout time.Duration) (Page, error)
	Follow(table string, after uint64, wait, timeout time.Duration) (Page, error)
}
