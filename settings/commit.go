package settings

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Commit is a change to be committed as a new version.
type Commit struct {
	Base     uint64 // number of the version that the change is based on
	Author   string
	Reason   string
	ChangeID string // unique per change; a repeated commit with the same one has no further effect
	Tree     *Tree
}

func (c Commit) check() error {
	if c.Author == "" || c.Reason == "" || c.ChangeID == "" {
		return errs.New(errs.InvalidInput, "give an author, a reason and a change identifier",
			"a change of the settings must have an author, a reason and a change identifier")
	}
	if !changeIDPattern.MatchString(c.ChangeID) {
		return errs.New(errs.InvalidInput, "use letters, digits, '.', '_' and '-', at most 100",
			"change identifier %q is not valid", c.ChangeID)
	}
	return c.Tree.Validate()
}

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,100}$`)

// buildTxn returns the transaction that commits the change as the version after
// head, and that version. The transaction is conditional: the head row must be
// unchanged, and neither the version nor the change identifier may exist.
func buildTxn(head Head, headRow uint64, base *Tree, c Commit, now structs.Timestamp) (provider.Txn, Version) {
	version := Version{
		Number: head.Number + 1, Base: head.Number,
		Author: c.Author, Reason: c.Reason, ChangeID: c.ChangeID,
		At: now, Hash: c.Tree.Hash(), Diff: Diff(base, c.Tree),
	}
	key, changeKey := VersionKey(version.Number), changePrefix+c.ChangeID
	next := Head{Number: version.Number, Hash: version.Hash, ChangeID: c.ChangeID}
	return provider.Txn{
		Conditions: []provider.Condition{
			{Key: HeadKey, Version: headRow}, {Key: key, Version: 0}, {Key: changeKey, Version: 0},
		},
		Writes: []provider.Write{
			{Key: HeadKey, Value: encodeRow(next)},
			{Key: key, Value: encodeRow(version)},
			{Key: changeKey, Value: encodeRow(version.Number)},
		},
	}, version
}

// maxListedChanges limits the number of changes listed in a conflict error.
const maxListedChanges = 10

// conflictError returns an error that lists the changes since version base.
func conflictError(base uint64, since []Version) error {
	var names []string
	count := 0
	for _, version := range since {
		for _, change := range version.Diff {
			count++
			if len(names) < maxListedChanges {
				names = append(names, fmt.Sprintf("version %d by %s: %s", version.Number, version.Author, change.String()))
			}
		}
	}
	if count > len(names) {
		names = append(names, fmt.Sprintf("and %d further changes", count-len(names)))
	}
	return errs.New(errs.Conflict, "get the settings in force, make the change again there and apply it",
		"the settings changed since version %d: %s", base, strings.Join(names, "; "))
}

// String formats the change as "PATH FIELD: OLD -> NEW", or "PATH added" or
// "PATH removed".
func (c Change) String() string {
	if c.Field == "" {
		if c.New == "" {
			return c.Path + " removed"
		}
		return c.Path + " added"
	}
	return fmt.Sprintf("%s %s: %s -> %s", c.Path, c.Field, orUnset(c.Old), orUnset(c.New))
}

func orUnset(value string) string {
	if value == "" {
		return "(unset)"
	}
	return value
}
