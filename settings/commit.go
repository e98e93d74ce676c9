package settings

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Commit is a change that an author wants to make.
type Commit struct {
	Base     uint64 // version that the author changed
	Author   string
	Reason   string
	ChangeID string // unique per change; a repeat with the same one has no second effect
	Tree     *Tree
}

func (c Commit) check() error {
	if c.Author == "" || c.Reason == "" || c.ChangeID == "" {
		return errs.New(errs.InvalidInput, "name author, reason and change identifier",
			"a change of the settings lacks its author, reason or change identifier")
	}
	if !changeIDPattern.MatchString(c.ChangeID) {
		return errs.New(errs.InvalidInput, "use letters, digits, '.', '_' and '-', at most 100",
			"change identifier %q is not valid", c.ChangeID)
	}
	return c.Tree.Validate()
}

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,100}$`)

// plan returns the transaction that makes the change the version after head,
// on condition that the head row is unchanged and that neither the version nor
// the change identifier exists.
func plan(head Head, headRow uint64, base *Tree, c Commit, now structs.Timestamp) (provider.Txn, Version) {
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

// maxNamedChanges bounds the changes that a conflict lists.
const maxNamedChanges = 10

// conflictError names what changed since the base of a change.
func conflictError(base uint64, since []Version) error {
	var names []string
	count := 0
	for _, version := range since {
		for _, change := range version.Diff {
			count++
			if len(names) < maxNamedChanges {
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

// String returns the change in the notation "PATH FIELD: OLD -> NEW".
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
