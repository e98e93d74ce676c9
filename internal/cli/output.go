package cli

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

func checkOutput(format string) error {
	switch format {
	case outputTable, outputJSON, outputYAML:
		return nil
	}
	return fmt.Errorf("output format %q is not table, json or yaml", format)
}

// table is a result for people to read, with one row per object.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the result in the format of --output. JSON and YAML hold the
// whole value, the table its most important parts.
func (a *app) print(c *cli.Command, value any, t table) error {
	return a.printText(c, value, func() string { return t.String() })
}

// printText is like print, with the function text in place of the table.
func (a *app) printText(c *cli.Command, value any, text func() string) error {
	format := c.String("output")
	if format == outputTable {
		_, err := fmt.Fprint(a.Out, text())
		return err
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errs.Wrap(err, errs.Failed, "report this bug", "encode the result")
	}
	if format == outputYAML {
		if data, err = yaml.JSONToYAML(data); err != nil {
			return errs.Wrap(err, errs.Failed, "use --output json", "encode the result")
		}
	}
	_, err = fmt.Fprintln(a.Out, strings.TrimRight(string(data), "\n"))
	return err
}

// String returns the header and the rows with aligned columns.
func (t table) String() string {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		fmt.Fprintln(w, strings.Join(t.header, "\t"))
	}
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush() // a strings.Builder accepts every write
	return out.String()
}

func formatCores(r structs.Resources) string {
	return strconv.FormatFloat(float64(r.MilliCPU)/1000, 'g', 6, 64)
}

func formatGiB(r structs.Resources) string {
	return strconv.FormatFloat(float64(r.MemoryBytes)/(1<<30), 'f', 1, 64) + "GiB"
}

// ratio formats a part of a whole, for example "4/32".
func ratio(part, whole string) string { return part + "/" + whole }

func formatDuration(d time.Duration) string {
	switch {
	case d >= time.Minute:
		return d.Round(time.Second).String()
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(10 * time.Microsecond).String()
}

func formatTime(t structs.Timestamp) string {
	if t == 0 {
		return "-"
	}
	return t.Time().Format(time.RFC3339)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// joinIDs joins identifiers with commas, or returns a dash for none.
func joinIDs[T ~string](ids []T) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return orDash(strings.Join(texts, ","))
}
