package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/structs"
)

// Change is a change of one field. Path is "cell", "classes/NAME" or the path of
// a branch. An empty Field means the class or branch itself, whose value is
// ValuePresent or, if it does not exist, "". For other fields "" means unset.
type Change struct {
	Path  string `json:"path" yaml:"path" cbor:"1,keyasint"`
	Field string `json:"field,omitempty" yaml:"field" cbor:"2,keyasint,omitempty"`
	Old   string `json:"old,omitempty" yaml:"old" cbor:"3,keyasint,omitempty"`
	New   string `json:"new,omitempty" yaml:"new" cbor:"4,keyasint,omitempty"`
}

// ValuePresent is the value of a class or branch that exists, in a Change.
const ValuePresent = "present"

const (
	cellPath    = "cell"
	classPrefix = "classes/"
)

// Hash returns the hash of the tree's content in hexadecimal digits: SHA-256
// over the encoded cell and classes and the digests of the branches. The digests
// are cached in the branches, so that computing the hash after a small change
// does not require encoding the whole tree.
func (t *Tree) Hash() string {
	hash := sha256.New()
	hash.Write(strictyaml.Encode(Tree{Cell: t.Cell, Classes: t.Classes}))
	for _, branch := range t.Branches {
		digest := branch.digest
		if digest == "" {
			digest = branch.computeDigest()
		}
		hash.Write([]byte(digest))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func (b Branch) computeDigest() string {
	sum := sha256.Sum256(strictyaml.Encode(b))
	return string(sum[:])
}

// treeNode is the cell, a class or a branch as a list of fields and their values
// in text form.
type treeNode struct {
	path    string
	entries []strictyaml.FieldValue
}

func (t *Tree) treeNodes() []treeNode {
	list := []treeNode{{cellPath, strictyaml.Flatten(t.Cell)}}
	for _, class := range t.Classes {
		list = append(list, treeNode{classPrefix + string(class.Name), strictyaml.Flatten(class)[1:]})
	}
	for _, branch := range t.Branches {
		list = append(list, treeNode{string(branch.Path), strictyaml.Flatten(branch.Overrides)})
	}
	return list
}

// Diff returns the changes that turn old into new, sorted by path and field. A
// nil tree is empty.
func Diff(old, new *Tree) []Change {
	before, after := fieldsByPath(old), fieldsByPath(new)
	var changes []Change
	for path := range before {
		changes = append(changes, diffNode(path, before, after)...)
	}
	for path := range after {
		if _, ok := before[path]; !ok {
			changes = append(changes, diffNode(path, before, after)...)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if order := strings.Compare(a.Path, b.Path); order != 0 {
			return order
		}
		return strings.Compare(a.Field, b.Field)
	})
	return changes
}

// fieldsByPath returns the fields of all nodes of the tree by path.
func fieldsByPath(t *Tree) map[string][]strictyaml.FieldValue {
	nodes := map[string][]strictyaml.FieldValue{cellPath: nil}
	if t == nil {
		return nodes
	}
	for _, n := range t.treeNodes() {
		nodes[n.path] = n.entries
	}
	return nodes
}

func diffNode(path string, before, after map[string][]strictyaml.FieldValue) []Change {
	var changes []Change
	oldEntries, existed := before[path]
	newEntries, exists := after[path]
	if existed != exists {
		changes = append(changes, Change{Path: path, Old: presence(existed), New: presence(exists)})
	}
	newValues := make(map[string]string, len(newEntries))
	for _, entry := range newEntries {
		newValues[entry.Field] = entry.Text
	}
	for _, entry := range oldEntries {
		if value := newValues[entry.Field]; value != entry.Text {
			changes = append(changes, Change{Path: path, Field: entry.Field, Old: entry.Text, New: value})
		}
		delete(newValues, entry.Field)
	}
	for field, value := range newValues {
		changes = append(changes, Change{Path: path, Field: field, New: value})
	}
	return changes
}

func presence(exists bool) string {
	if exists {
		return ValuePresent
	}
	return ""
}

// Apply returns a copy of tree with the changes applied; tree itself is not
// modified. It fails with errs.Conflict if a field of tree does not have the old
// value of its change, and with errs.InvalidInput if the result is not valid. A
// nil tree is empty.
func Apply(tree *Tree, changes []Change) (*Tree, error) {
	next, err := applyUnchecked(tree, changes)
	if err != nil {
		return nil, err
	}
	return next, next.Validate()
}

// applyUnchecked is Apply without validation of the result.
func applyUnchecked(tree *Tree, changes []Change) (*Tree, error) {
	next := &Tree{}
	if tree != nil {
		next = &Tree{Cell: tree.Cell, Classes: slices.Clone(tree.Classes), Branches: slices.Clone(tree.Branches)}
	}
	for _, change := range changes {
		if err := checkOldValue(tree, change); err != nil {
			return nil, err
		}
		if err := next.applyChange(change); err != nil {
			return nil, err
		}
	}
	next.normalize()
	return next, nil
}

// Validate checks a tree that was not decoded from a file. Line numbers in its
// errors refer to the canonical encoding.
func (t *Tree) Validate() error {
	_, err := Decode("settings", t.Encode())
	return err
}

// entries returns the fields of the node at path and whether the node exists. A
// nil tree has only the cell, without fields.
func (t *Tree) entries(path string) ([]strictyaml.FieldValue, bool) {
	switch {
	case t == nil:
		return nil, path == cellPath
	case path == cellPath:
		return strictyaml.Flatten(t.Cell), true
	case strings.HasPrefix(path, classPrefix):
		class, ok := t.Class(structs.ClassName(strings.TrimPrefix(path, classPrefix)))
		return strictyaml.Flatten(class)[1:], ok
	}
	i, ok := t.find(structs.TeamID(path))
	if !ok {
		return nil, false
	}
	return strictyaml.Flatten(t.Branches[i].Overrides), true
}

// checkOldValue returns an error of kind errs.Conflict unless the field has the
// old value of the change.
func checkOldValue(tree *Tree, change Change) error {
	entries, exists := tree.entries(change.Path)
	value := presence(exists)
	if change.Field != "" {
		value = ""
		for _, entry := range entries {
			if exists && entry.Field == change.Field {
				value = entry.Text
			}
		}
	}
	if value == change.Old {
		return nil
	}
	return errs.New(errs.Conflict, "compare with the version in force and repeat the change",
		"%s %s is %q, not %q", change.Path, change.Field, value, change.Old)
}

func (t *Tree) applyChange(change Change) error {
	switch {
	case change.Path == cellPath:
		return setField(&t.Cell, change)
	case strings.HasPrefix(change.Path, classPrefix):
		return t.applyToClass(structs.ClassName(strings.TrimPrefix(change.Path, classPrefix)), change)
	}
	return t.applyToBranch(structs.TeamID(change.Path), change)
}

func (t *Tree) applyToClass(name structs.ClassName, change Change) error {
	i := slices.IndexFunc(t.Classes, func(c Class) bool { return c.Name == name })
	switch {
	case change.Field == "" && change.New == "":
		if i >= 0 {
			t.Classes = slices.Delete(t.Classes, i, i+1)
		}
		return nil
	case change.Field == "":
		t.Classes = append(t.Classes, Class{Name: name})
		return nil
	case i < 0 && change.New == "":
		return nil // the class was removed by an earlier change
	case i < 0:
		return errs.New(errs.InvalidInput, "add the class first", "class %q does not exist", name)
	}
	return setField(&t.Classes[i], change)
}

func (t *Tree) applyToBranch(path structs.TeamID, change Change) error {
	i := slices.IndexFunc(t.Branches, func(b Branch) bool { return b.Path == path })
	switch {
	case change.Field == "" && change.New == "":
		if i >= 0 {
			t.Branches = slices.Delete(t.Branches, i, i+1)
		}
		return nil
	case change.Field == "":
		t.Branches = append(t.Branches, Branch{Path: path})
		return nil
	case i < 0 && change.New == "":
		return nil // the branch was removed by an earlier change
	case i < 0:
		return errs.New(errs.InvalidInput, "add the branch first", "branch %q does not exist", path)
	}
	t.Branches[i].digest = ""
	return setField(&t.Branches[i].Overrides, change)
}

func setField(target any, change Change) error {
	if err := strictyaml.SetField(target, change.Field, change.New); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "correct the value", "change of %s", change.Path)
	}
	return nil
}
