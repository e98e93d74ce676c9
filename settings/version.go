package settings

import (
	"fmt"

	"github.com/mangodrum/mangodrum/structs"
)

// Version is one committed change of the settings. Its diff turns the tree of
// version Base, which is always Number-1, into a tree with the given hash.
type Version struct {
	Number   uint64            `json:"number" cbor:"1,keyasint"`
	Base     uint64            `json:"base" cbor:"2,keyasint"`
	Author   string            `json:"author" cbor:"3,keyasint"`
	Reason   string            `json:"reason" cbor:"4,keyasint"`
	ChangeID string            `json:"change_id" cbor:"5,keyasint"` // chosen by the author; makes a repeated commit idempotent
	At       structs.Timestamp `json:"at" cbor:"6,keyasint"`
	Hash     string            `json:"hash" cbor:"7,keyasint"`
	Diff     []Change          `json:"diff,omitempty" cbor:"8,keyasint,omitempty"`
}

// Head is the content of the row that identifies the newest version.
type Head struct {
	Number   uint64 `json:"number"`
	Hash     string `json:"hash"`
	ChangeID string `json:"change_id"`
}

// Keys of rows and names of objects. Version numbers are zero-padded to 20 digits
// so that keys sort by number.
const (
	HeadKey       = "settings/head"
	versionPrefix = "settings/versions/"
	changePrefix  = "settings/changes/" // one row per change identifier, with the number of its version
	copyPrefix    = "settings/copies/"
)

// VersionKey returns the key of the row of a version.
func VersionKey(number uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, number) }

// CopyName returns the name of the object that holds the full copy of a version.
func CopyName(number uint64) string { return fmt.Sprintf("%s%020d", copyPrefix, number) }
