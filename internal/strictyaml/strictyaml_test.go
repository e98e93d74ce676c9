package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/mangodrum/mangodrum/errs"
)

// Guards against input files on which the parser runs for minutes or overflows
// its stack. Without the limits, 100,000 nested lists took 8.9 s and 100,000
// keys in one mapping over 20 s.
func TestLimitsRejectInputBeforeParsing(t *testing.T) {
	const n = 100_000
	lines := func(format string) string {
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, format, i)
		}
		return text.String()
	}
	cases := map[string]string{
		"lists are nested":    strings.Repeat("- ", n),
		"mappings are nested": strings.Repeat("a: ", n),
		"brackets are nested": strings.Repeat("[\n", n),
		"anchors":             strings.Repeat("&a ", n),
		"keys":                lines("a%d: 1\n"),
		"entries":             "{" + lines("a%d: 1,\n"),
		"documents":           lines("---\na: %d\n"),
		"tokens":              "[" + strings.Repeat(",", n),
		"bytes":               strings.Repeat("#", MaxFileBytes+1),
	}
	for want, text := range cases {
		_, err := Parse("f", []byte(text))
		if !errs.Is(err, errs.InvalidInput) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// Guards against limits that reject a settings tree of the largest allowed size,
// 4000 branches.
func TestLargeFilesAreAccepted(t *testing.T) {
	var text strings.Builder
	text.WriteString("list:\n")
	for i := range 4000 {
		fmt.Fprintf(&text, "  - name: n%d\n    set: {a: 1, b: [1, 2]}\n", i)
	}
	if _, err := Parse("f", []byte(text.String())); err != nil {
		t.Error(err)
	}
}

// Guards against values that are accepted without a unit, with an unknown unit or
// with a loss of precision.
func TestUnits(t *testing.T) {
	cases := []struct {
		value Scalar
		text  string
		want  string // text of the parsed value; "" if the text is invalid
	}{
		{new(Duration), "90s", "1m30s"}, {new(Duration), "60m", "1h"}, {new(Duration), "1500us", "1.5ms"},
		{new(Duration), "6", ""}, {new(Duration), "0", ""}, {new(Duration), "6 s", ""}, {new(Duration), "6d", ""},
		{new(Bytes), "1024MiB", "1GiB"}, {new(Bytes), "0B", "0B"}, {new(Bytes), "1500KiB", "1500KiB"},
		{new(Bytes), "4GB", ""}, {new(Bytes), "4", ""}, {new(Bytes), "-1GiB", ""}, {new(Bytes), "1.5GiB", ""}, {new(Bytes), "9999999999TiB", ""},
		{new(Fraction), "0.25", "0.25"}, {new(Fraction), "1", "1"}, {new(Fraction), "-0", "0"},
		{new(Fraction), "1.01", ""}, {new(Fraction), "NaN", ""}, {new(Fraction), "50%", ""},
		{new(Cores), "2", "2"}, {new(Cores), "0.001", "0.001"}, {new(Cores), "1e3", "1000"},
		{new(Cores), "0.0005", ""}, {new(Cores), "-1", ""}, {new(Cores), "Inf", ""}, {new(Cores), "2 cores", ""},
		{new(TimeOfDay), "22:30", "22:30"}, {new(TimeOfDay), "24:00", ""}, {new(TimeOfDay), "7:00", ""},
		{new(Instant), "2027-01-15T05:00:00+01:00", "2027-01-15T04:00:00Z"}, {new(Instant), "2027-01-15", ""}, {new(Instant), "9999-01-01T00:00:00Z", ""},
	}
	for _, c := range cases {
		err := c.value.Parse(c.text)
		if (err != nil) != (c.want == "") {
			t.Errorf("%T %q: %v", c.value, c.text, err)
		} else if err == nil && c.value.Text() != c.want {
			t.Errorf("%T %q: got %q, want %q", c.value, c.text, c.value.Text(), c.want)
		}
	}
}

type sample struct {
	Name  string            `yaml:"name" required:"true"`
	Count *int              `yaml:"count" min:"1" max:"9"`
	On    *bool             `yaml:"on"`
	Tags  map[string]string `yaml:"tags"`
	List  []inner           `yaml:"list"`
}

type inner struct {
	Wait Duration `yaml:"wait" min:"1s"`
	Text []string `yaml:"text" pattern:"^[a-z]+$"`
}

func decodeSample(t *testing.T, text string) (sample, error) {
	t.Helper()
	documents, err := Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var value sample
	return value, documents[0].Decode(&value).Err()
}

// Guards against values that are accepted with the wrong type, and against
// problems reported at the wrong line.
func TestDecodeProblems(t *testing.T) {
	text := `name: 7
count: 10
on: "yes"
tags: {a: 1, a: b}
list:
  - wait: 500ms
    text: [ok, BAD]
  - [x]
other: 1
`
	_, err := decodeSample(t, text)
	want := []string{
		`f:1: name: "7" is not text`, `f:2: count: "10" is above the maximum 9`, `f:3: on: "yes" is neither true nor false`,
		`f:4: tags.a: "1" is not text`, `f:4: tags.a: appears twice`, `f:6: list[0].wait: "500ms" is below the minimum 1s`,
		`f:7: list[0].text[1]: "BAD" does not match ^[a-z]+$`, `f:8: list[1]: is not a mapping`, `f:9: other: unknown field`,
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != len(want) {
		t.Fatalf("got:\n%v", err)
	}
	for i, line := range lines {
		if !strings.HasPrefix(line, want[i]) || !strings.Contains(line, "; remedy: ") {
			t.Errorf("got %q, want %q", line, want[i])
		}
	}
	if _, err := decodeSample(t, "count: 1\n"); err == nil || !strings.Contains(err.Error(), "name: is missing") {
		t.Errorf("missing field: got error %v", err)
	}
	if _, err := decodeSample(t, "\"name\": 'x'\n"); err != nil {
		t.Errorf("quoted key: got error %v", err)
	}
}

// Guards against a report that grows without bound on a file with an error in
// every line.
func TestReportIsBounded(t *testing.T) {
	var text strings.Builder
	text.WriteString("name: x\nlist:\n")
	for range 500 {
		text.WriteString("  - {wait: 1ms}\n")
	}
	_, err := decodeSample(t, text.String())
	if lines := strings.Count(err.Error(), "\n") + 1; lines > maxProblems+1 {
		t.Errorf("got %d problems, more than the limit", lines)
	}
}

// Guards against a single field that is set without the checks of a decoded
// field, and against changing a value that another struct shares.
func TestSetField(t *testing.T) {
	count := 3
	value := sample{Count: &count}
	copied := value
	if err := SetField(&copied, "count", "5"); err != nil || *copied.Count != 5 || *value.Count != 3 {
		t.Errorf("set: error %v, copy %d, original %d", err, *copied.Count, *value.Count)
	}
	for _, c := range [][2]string{{"count", "10"}, {"count", "x"}, {"none", "1"}, {"count.x", "1"}} {
		if err := SetField(&copied, c[0], c[1]); err == nil {
			t.Errorf("%v was accepted", c)
		}
	}
	if err := SetField(&copied, "count", ""); err != nil || copied.Count != nil {
		t.Errorf("clear: the field is still set or the call failed: %v", err)
	}
}

// Guards against an encoded value that decodes to a different value.
func TestEncodeRoundTrip(t *testing.T) {
	count, on := 4, false
	value := sample{Name: `a "quoted": #name`, Count: &count, On: &on, List: []inner{{Wait: 2e9, Text: []string{"x", "y"}}, {Wait: 3e9}}}
	got, err := decodeSample(t, string(Encode(value)))
	if err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("%v\n%s\n%+v", err, Encode(value), got)
	}
}
