// Package settings implements the settings tree of a cell: settings and classes
// of work for the whole cell, and a hierarchy of branches, each of which inherits
// from its parent and overrides individual fields.
//
// The package decodes trees from YAML (Decode), resolves the effective
// settings of a branch (Tree.Resolve), compares trees (Diff, Apply, ImpactOf)
// and manages versions: Store commits them to the platform's table with
// compare-and-set, and Follower is the reducer that brings new versions into
// force at an instance.
//
// Invariants: a Tree returned by Decode or Apply is valid; the hash of a tree
// depends only on its content; a Follower never goes back to a lower version.
package settings
