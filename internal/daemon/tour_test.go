package daemon

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/mangodrum/mangodrum/internal/cli"
)

// tourStep is a command of the tour with the output that README.md shows.
type tourStep struct {
	command string
	output  []string
}

// tourSteps reads the commands and their output from the tour in README.md.
func tourSteps(t *testing.T) []tourStep {
	t.Helper()
	page, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, tour, _ := strings.Cut(string(page), "## Five-minute tour")
	tour, _, _ = strings.Cut(tour, "\n## ")
	var steps []tourStep
	for _, line := range strings.Split(tour, "\n") {
		text, indented := strings.CutPrefix(line, "    ")
		command, isCommand := strings.CutPrefix(text, "$ ")
		switch {
		case !indented:
		case isCommand:
			steps = append(steps, tourStep{command: command})
		case len(steps) > 0:
			last := &steps[len(steps)-1]
			last.output = append(last.output, text)
		}
	}
	return steps
}

var (
	number = regexp.MustCompile(`[0-9]+`)
	spaces = regexp.MustCompile(` +`)
)

// normalizeLine replaces numbers and runs of blanks, which differ between runs.
func normalizeLine(line string) string {
	return strings.TrimSpace(spaces.ReplaceAllString(number.ReplaceAllString(line, "N"), " "))
}

// Guards against a tour in README.md whose commands fail or print something
// else than shown there.
func TestTourOfReadme(t *testing.T) {
	cell := startCell(t, "bureau")
	allSteps := tourSteps(t)
	t.Chdir("../..")
	edited := filepath.Join(t.TempDir(), "settings.yaml")
	steps := 0
	for _, step := range allSteps {
		args, isMangodrum := strings.CutPrefix(step.command, "go run ./cmd/mangodrum ")
		if !isMangodrum {
			continue
		}
		steps++
		out := runTourStep(t, cell, strings.ReplaceAll(args, "/tmp/settings.yaml", edited), edited)
		first, _, _ := strings.Cut(out, "\n")
		if len(step.output) > 0 && normalizeLine(first) != normalizeLine(step.output[0]) {
			t.Errorf("%s\nprinted  %s\nREADME.md %s", step.command, normalizeLine(first), normalizeLine(step.output[0]))
		}
	}
	if steps < 9 {
		t.Errorf("%d commands in the tour, want at least 9", steps)
	}
	if err := cell.stop(); err != nil {
		t.Error(err)
	}
}

// runTourStep runs a command of the tour in this process and returns its
// output. If the command writes the settings file, runTourStep applies the
// tour's edit to the file.
func runTourStep(t *testing.T, cell *cellUnderTest, line, edited string) string {
	t.Helper()
	line, toFile := strings.CutSuffix(line, " > "+edited)
	var out bytes.Buffer
	args := append([]string{"mangodrum", "--server", cell.operators[0]}, splitQuoted(line)...)
	code := cli.Run(context.Background(), args, cli.Streams{In: strings.NewReader(""), Out: &out, Err: &out})
	wantCode := cli.ExitSuccess
	if strings.Contains(line, "the same base") {
		wantCode = cli.ExitConflict
	}
	if code != wantCode {
		t.Errorf("%s: exit code %d, want %d; %s", line, code, wantCode, out.String())
	}
	if toFile {
		text := strings.ReplaceAll(out.String(), `"400GiB"`, `"500GiB"`)
		if err := os.WriteFile(edited, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return out.String()
}

// splitQuoted splits a line at blanks outside double quotes.
func splitQuoted(line string) []string {
	var args []string
	for index, part := range strings.Split(line, `"`) {
		if index%2 == 1 {
			args = append(args, part)
			continue
		}
		args = append(args, strings.Fields(part)...)
	}
	return args
}
