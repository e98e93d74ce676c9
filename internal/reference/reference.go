// Package reference generates docs/settings.md, the reference for all input
// files, from the types that decode them. After a change of the types, run
//
//	go test ./internal/reference -update
package reference

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/mangodrum/mangodrum/config"
	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/settings"
)

const intro = `# Input files

Generated from the types by ` + "`go test ./internal/reference -update`" + `; do not edit.

All files are YAML and begin with ` + "`apiVersion: mangodrum/v1` and `kind`" + `. They are decoded strictly: unknown fields,
repeated keys, missing units and values out of range are errors, and every error of a file is reported with file, line,
field and remedy. ` + "`mangodrum check --config FILE`" + ` checks a file of any kind.

Units: durations such as 6s, 1h30m; sizes in B, KiB, MiB, GiB, TiB; fractions from 0 to 1; cores as numbers; times of day
in UTC. Anchors, aliases, tags and explicit keys are not allowed.
`

const settingsIntro = `
## Settings (kind: Settings)

One tree per cell: settings of the cell, classes of work, and branches by path. The block ` + "`set`" + ` of a branch overrides
single fields; all others are inherited from the parent, and from the default where no branch sets them. Guaranteed quota
is not inherited: a branch that names none has none. A team may use up to its borrow limit above its guarantee while
others leave it idle. The guaranteed quota of the children of a branch sums to at most its
own, and the floors of the classes sum to at most 1. The tree has at most 4000 branches.
`

// Page returns the content of docs/settings.md.
func Page() []byte {
	var out strings.Builder
	out.WriteString(intro + settingsIntro)
	writeSection(&out, "### Cell: `cell`", settings.Cell{}, defaultsOf(settings.CellDefaults()))
	writeSection(&out, "### Classes: `classes`, each entry", settings.Class{}, nil)
	writeSection(&out, "### Branches: `branches`, each entry", settings.Branch{}, defaultsOf(settings.Branch{Overrides: settings.Defaults()}))
	writeSection(&out, "## Instance (kind: Instance)", config.Instance{}, nil)
	writeSection(&out, "## Job (kind: Job)", config.JobDocument{}, nil)
	out.WriteString("\nA file may hold several jobs as YAML documents.\n")
	writeSection(&out, "## Request (kind: Request)", config.Request{}, nil)
	writeSection(&out, "## Cell topology for the stand-in (kind: Cell)", config.Cell{}, nil)
	writeSection(&out, "### Regions: `regions`, each entry", config.CellRegion{}, nil)
	writeSection(&out, "### Failure domains: `regions.failure_domains`, each entry", config.CellFailureDomain{}, nil)
	writeSection(&out, "### Workers: `regions.failure_domains.workers`, each entry", config.CellWorkerGroup{}, nil)
	return []byte(out.String())
}

// defaultsOf returns the defaults as text by field name.
func defaultsOf(value any) map[string]string {
	defaults := map[string]string{}
	for _, entry := range strictyaml.Flatten(value) {
		if entry.Text != "" {
			defaults[entry.Field] = entry.Text
		}
	}
	return defaults
}

// writeSection writes a heading and a table of the fields of a struct. The table has
// a column of defaults unless defaults is nil.
func writeSection(out *strings.Builder, title string, value any, defaults map[string]string) {
	fmt.Fprintf(out, "\n%s\n\n", title)
	header, separator := "| field | value | meaning |", "|---|---|---|"
	if defaults != nil {
		header, separator = "| field | value | default | meaning |", "|---|---|---|---|"
	}
	fmt.Fprintf(out, "%s\n%s\n", header, separator)
	for _, info := range strictyaml.Describe(value) {
		if info.Field == "apiVersion" || info.Field == "kind" {
			continue
		}
		name := "`" + info.Field + "`"
		if info.Required {
			name += " (required)"
		}
		cells := []string{name, info.Notation}
		if defaults != nil {
			cells = append(cells, defaults[info.Field])
		}
		fmt.Fprintf(out, "| %s | %s |\n", strings.Join(escapeCells(cells), " | "), escapeCell(info.Doc))
	}
}

func escapeCells(cells []string) []string {
	for i := range cells {
		cells[i] = escapeCell(cells[i])
	}
	return cells
}

func escapeCell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }

// UndocumentedFields returns the fields of all input files without a description.
func UndocumentedFields() []string {
	var names []string
	for _, value := range []any{
		settings.Cell{}, settings.Class{}, settings.Branch{}, config.Instance{}, config.JobDocument{}, config.Request{},
		config.Cell{}, config.CellRegion{}, config.CellFailureDomain{}, config.CellWorkerGroup{},
	} {
		for _, info := range strictyaml.Describe(value) {
			if info.Doc == "" {
				names = append(names, reflect.TypeOf(value).String()+"."+info.Field)
			}
		}
	}
	return names
}
