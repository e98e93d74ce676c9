// Package settings holds the settings tree of a cell: classes of work at the
// cell's level and branches by path, each of which inherits from its parent
// and overrides single fields.
//
// The package decodes trees from YAML (Decode), resolves the effective
// settings of a branch (Tree.Resolve), compares trees (Diff, Apply, ImpactOf)
// and keeps versions: Store commits them to the platform's table with a
// compare-and-set, Follower is the reducer by which an instance follows them.
//
// Invariants: a Tree that left Decode or Apply is valid; the hash of a tree
// depends only on its content; a Follower never applies a lower version.
package settings
