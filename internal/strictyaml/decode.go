package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// Limits on the size and the nesting depth of input files. A settings tree of
// 390 teams takes less than 200 KiB.
const (
	MaxFileBytes = 4 << 20
	maxDepth     = 20
)

// Header holds the fields that every input file begins with.
type Header struct {
	APIVersion string `yaml:"apiVersion" required:"true" oneof:"mangodrum/v1" doc:"Version of the file format."`
	Kind       string `yaml:"kind" required:"true" oneof:"Settings Job Instance Request Cell" doc:"Kind of the file."`
}

// Document is one YAML document of a file.
type Document struct {
	file string
	body ast.Node
}

// Parse checks the limits on input files, parses data as YAML and returns its
// documents.
func Parse(file string, data []byte) ([]*Document, error) {
	report := NewReport(file)
	if len(data) > MaxFileBytes {
		report.Add("", "split the file", "file has %d bytes, more than %d", len(data), MaxFileBytes)
		return nil, report.Err()
	}
	tokens := lexer.Tokenize(string(data))
	if checkTokens(report, tokens); report.Err() != nil {
		return nil, report.Err()
	}
	parsed, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		report.addSyntaxError(err)
		return nil, report.Err()
	}
	var documents []*Document
	for _, doc := range parsed.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			documents = append(documents, &Document{file: file, body: doc.Body})
		}
	}
	if len(documents) == 0 {
		report.Add("", "write a document into the file", "file is empty")
	}
	return documents, report.Err()
}

func (r *Report) addSyntaxError(err error) {
	line, detail := 0, err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		detail = syntax.GetMessage()
		if token := syntax.GetToken(); token != nil && token.Position != nil {
			line = token.Position.Line
		}
	}
	detail, _, _ = strings.Cut(detail, "\n")
	r.Problems = append(r.Problems, &Problem{
		File: r.File, Line: line, Detail: "YAML syntax: " + detail, Remedy: "correct the YAML syntax at this line",
	})
}

// Header decodes only the header of the document.
func (d *Document) Header() (Header, error) {
	var header Header
	dec := d.newDecoder()
	dec.ignoreUnknown = true
	dec.decode(d.body, reflect.ValueOf(&header).Elem(), "", nil)
	return header, dec.report.Err()
}

// Decode fills the struct that target points to. Callers add the problems that
// they find themselves to the report, which holds the lines of all fields, and
// call its Err before they use target.
func (d *Document) Decode(target any) *Report {
	dec := d.newDecoder()
	dec.decode(d.body, reflect.ValueOf(target).Elem(), "", nil)
	return dec.report
}

func (d *Document) newDecoder() *decoder { return &decoder{report: NewReport(d.file)} }

// decoder walks the syntax tree and the target value in parallel.
type decoder struct {
	report        *Report
	ignoreUnknown bool // accept unknown fields without decoding them
	depth         int
}

func lineOf(node ast.Node) int {
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return 0
	}
	return token.Position.Line
}

func (d *decoder) decode(node ast.Node, target reflect.Value, field string, structField *reflect.StructField) {
	if d.report.isFull() {
		return
	}
	if _, known := d.report.lines[field]; !known {
		d.report.lines[field] = lineOf(node)
	}
	d.depth++
	defer func() { d.depth-- }()
	if d.depth > maxDepth {
		d.report.Add(field, "nest values less deeply", "is nested more than %d levels deep", maxDepth)
		return
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.report.Add(field, "write the value out", "anchors, aliases, merge keys and tags are not allowed")
		return
	case *ast.NullNode:
		d.report.Add(field, "give a value or remove the field", "has no value")
		return
	}
	d.decodeValue(node, target, field, structField)
}

func (d *decoder) decodeValue(node ast.Node, target reflect.Value, field string, structField *reflect.StructField) {
	if _, ok := target.Addr().Interface().(Scalar); ok {
		d.decodeScalar(node, target, field, structField)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		value := reflect.New(target.Type().Elem())
		before := len(d.report.Problems)
		d.decode(node, value.Elem(), field, structField)
		if len(d.report.Problems) == before {
			target.Set(value)
		}
	case reflect.Struct:
		d.decodeStruct(node, target, field)
	case reflect.Slice:
		d.decodeList(node, target, field, structField)
	case reflect.Map:
		d.decodeMap(node, target, field)
	default:
		d.decodeScalar(node, target, field, structField)
	}
}

// mappingEntries returns the entries of a mapping. The parser represents a mapping
// of one entry as the entry itself.
func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// entryKey returns the key of a mapping entry without quotes.
func entryKey(entry *ast.MappingValueNode) string {
	if text, ok := entry.Key.(*ast.StringNode); ok {
		return text.Value
	}
	return entry.Key.GetToken().Value
}

// joinField appends a field name to the dotted name of the enclosing field.
func joinField(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

func (d *decoder) decodeStruct(node ast.Node, target reflect.Value, field string) {
	entries, ok := mappingEntries(node)
	if !ok {
		d.report.Add(field, "write fields, each as \"name: value\"", "is not a mapping")
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for _, entry := range entries {
		name := entryKey(entry)
		path := joinField(field, name)
		if !seen[name] || d.report.lines[path] == 0 {
			d.report.lines[path] = lineOf(entry.Key)
		}
		index, known := fields[name]
		switch {
		case known && seen[name]:
			d.report.Problems = append(d.report.Problems, &Problem{
				File: d.report.File, Line: lineOf(entry.Key), Field: path,
				Detail: "appears twice", Remedy: "keep one of the two",
			})
		case known:
			structField := target.Type().FieldByIndex(index)
			d.decode(entry.Value, target.FieldByIndex(index), path, &structField)
		case !d.ignoreUnknown:
			d.report.Add(path, "use one of: "+strings.Join(fieldNames(target.Type()), ", "), "unknown field")
		}
		seen[name] = true
	}
	d.reportMissing(target.Type(), seen, field)
}

// reportMissing reports the required fields that are not in seen.
func (d *decoder) reportMissing(t reflect.Type, seen map[string]bool, field string) {
	fields := fieldsOf(t)
	for _, name := range fieldNames(t) {
		structField := t.FieldByIndex(fields[name])
		if structField.Tag.Get("required") == "true" && !seen[name] {
			d.report.Add(joinField(field, name), "add the field", "is missing")
		}
	}
}

func (d *decoder) decodeList(node ast.Node, target reflect.Value, field string, structField *reflect.StructField) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report.Add(field, "write a list, each entry after \"- \"", "is not a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values)))
	for i, value := range list.Values {
		d.decode(value, target.Index(i), fmt.Sprintf("%s[%d]", field, i), structField)
	}
}

func (d *decoder) decodeMap(node ast.Node, target reflect.Value, field string) {
	entries, ok := mappingEntries(node)
	if !ok {
		d.report.Add(field, "write entries, each as \"name: value\"", "is not a mapping")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, entry := range entries {
		key := reflect.ValueOf(entryKey(entry))
		path := joinField(field, key.String())
		d.report.lines[path] = lineOf(entry.Key)
		if target.MapIndex(key).IsValid() {
			d.report.Add(path, "keep one of the two", "appears twice")
			continue
		}
		value := reflect.New(target.Type().Elem()).Elem()
		d.decode(entry.Value, value, path, nil)
		target.SetMapIndex(key, value)
	}
}

// FileKind returns the kind in the header.
func (h Header) FileKind() string { return h.Kind }
