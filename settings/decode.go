package settings

import (
	"slices"
	"strings"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/strictyaml"
)

// Decode decodes a settings file. It returns either a valid tree or an error of
// kind errs.InvalidInput that lists every problem with file, line, field and
// remedy.
func Decode(file string, data []byte) (*Tree, error) {
	documents, err := strictyaml.Parse(file, data)
	if err != nil {
		return nil, err
	}
	if len(documents) != 1 {
		return nil, errs.New(errs.InvalidInput, "write the whole tree as one document",
			"%s: has %d YAML documents instead of 1", file, len(documents))
	}
	var content File
	report := documents[0].Decode(&content)
	if content.Kind != "" && content.Kind != Kind {
		report.Add("kind", "use a file with kind: "+Kind, "is %q, not %q", content.Kind, Kind)
	}
	content.check(report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	content.normalize()
	return &content.Tree, nil
}

// normalize sorts classes and branches, so that equal trees have equal values,
// and computes missing branch digests.
func (t *Tree) normalize() {
	slices.SortFunc(t.Classes, func(a, b Class) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortFunc(t.Branches, func(a, b Branch) int { return strings.Compare(string(a.Path), string(b.Path)) })
	for i := range t.Branches {
		if t.Branches[i].digest == "" {
			t.Branches[i].digest = t.Branches[i].computeDigest()
		}
	}
}

// Encode returns the canonical encoding of the tree: a settings file with
// classes sorted by name, branches sorted by path and fields in the order of
// the reference. Equal trees have equal encodings.
func (t *Tree) Encode() []byte {
	header := strictyaml.Header{APIVersion: "mangodrum/v1", Kind: Kind}
	return strictyaml.Encode(File{Header: header, Tree: *t})
}
