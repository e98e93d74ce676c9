package strictyaml

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/goccy/go-yaml/ast"
)

// scalarText returns the text of a scalar node and whether it is a number
// without quotes. ok is false if the node is not a scalar.
func scalarText(node ast.Node) (text string, number, ok bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, false, true
	case *ast.LiteralNode:
		return n.Value.Value, false, true
	case *ast.IntegerNode, *ast.FloatNode:
		return node.GetToken().Value, true, true
	case *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return node.GetToken().Value, false, true
	}
	return "", false, false
}

func (d *decoder) decodeScalar(node ast.Node, target reflect.Value, field string, structField *reflect.StructField) {
	text, number, ok := scalarText(node)
	if !ok {
		d.report.Add(field, "write a single value", "is not a single value")
		return
	}
	if err := checkNotation(target, number, node); err != nil {
		d.report.Add(field, remedyFor(target, structField), "%q %v", text, err)
		return
	}
	if err := setText(target, text); err != nil {
		d.report.Add(field, remedyFor(target, structField), "%q %v", text, err)
		return
	}
	if err := checkTags(target, structField); err != nil {
		d.report.Add(field, remedyFor(target, structField), "%q %v", text, err)
	}
}

// checkNotation rejects a scalar of the wrong YAML type, such as a number in
// quotes for a number or a number without quotes for text. setText sees only the
// text and would accept these.
func checkNotation(target reflect.Value, number bool, node ast.Node) error {
	if scalar, ok := target.Addr().Interface().(Scalar); ok {
		if scalar.IsNumber() && !number {
			return fmt.Errorf("is not a plain number")
		}
		return nil
	}
	_, isBool := node.(*ast.BoolNode)
	switch target.Kind() {
	case reflect.Int, reflect.Int64:
		if !number {
			return fmt.Errorf("is not a plain number")
		}
	case reflect.Bool:
		if !isBool {
			return fmt.Errorf("is neither true nor false")
		}
	case reflect.String:
		if number || isBool {
			return fmt.Errorf("is not text")
		}
	}
	return nil
}

// setText parses text and sets the scalar value to it.
func setText(target reflect.Value, text string) error {
	if scalar, ok := target.Addr().Interface().(Scalar); ok {
		return scalar.Parse(text)
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("is neither true nor false")
		}
		target.SetBool(value)
	case reflect.Int, reflect.Int64:
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("is not a whole number")
		}
		target.SetInt(value)
	default:
		return fmt.Errorf("has the unsupported type %s", target.Type())
	}
	return nil
}

// textOf returns a scalar value as it is written in a file, the inverse of
// setText.
func textOf(value reflect.Value) string {
	if scalar, ok := value.Interface().(interface{ Text() string }); ok {
		return scalar.Text()
	}
	return fmt.Sprint(value.Interface())
}

// quantityOf returns a scalar value as a number for comparison with bounds.
func quantityOf(value reflect.Value) float64 {
	if scalar, ok := value.Interface().(interface{ Quantity() float64 }); ok {
		return scalar.Quantity()
	}
	if value.CanInt() {
		return float64(value.Int())
	}
	return 0
}

// checkTags checks a value against the tags min, max, oneof and pattern of its
// field.
func checkTags(value reflect.Value, structField *reflect.StructField) error {
	if structField == nil {
		return nil
	}
	if allowed := structField.Tag.Get("oneof"); allowed != "" && !slices.Contains(strings.Fields(allowed), textOf(value)) {
		return fmt.Errorf("is not one of: %s", allowed)
	}
	if pattern := structField.Tag.Get("pattern"); pattern != "" && !compiledPattern(pattern).MatchString(textOf(value)) {
		return fmt.Errorf("does not match %s", pattern)
	}
	if bound, ok := boundOf(value, structField, "min"); ok && quantityOf(value) < bound {
		return fmt.Errorf("is below the minimum %s", structField.Tag.Get("min"))
	}
	if bound, ok := boundOf(value, structField, "max"); ok && quantityOf(value) > bound {
		return fmt.Errorf("is above the maximum %s", structField.Tag.Get("max"))
	}
	return nil
}

// boundOf returns the bound in the tag min or max. ok is false without the tag.
func boundOf(value reflect.Value, structField *reflect.StructField, tag string) (float64, bool) {
	text := structField.Tag.Get(tag)
	if text == "" {
		return 0, false
	}
	bound := reflect.New(value.Type()).Elem()
	if err := setText(bound, text); err != nil {
		panic(fmt.Sprintf("tag %s of field %s: %v", tag, structField.Name, err))
	}
	return quantityOf(bound), true
}

var patterns sync.Map // *regexp.Regexp by pattern

// compiledPattern returns the compiled pattern, from the cache if present.
func compiledPattern(pattern string) *regexp.Regexp {
	if cached, ok := patterns.Load(pattern); ok {
		return cached.(*regexp.Regexp)
	}
	expression := regexp.MustCompile(pattern)
	patterns.Store(pattern, expression)
	return expression
}

// remedyFor returns the remedy for an invalid value of the field.
func remedyFor(target reflect.Value, structField *reflect.StructField) string {
	if structField != nil && structField.Tag.Get("oneof") != "" {
		return "use one of: " + structField.Tag.Get("oneof")
	}
	return "write " + Notation(target.Type(), structField)
}

// Notation describes in words the valid values of a field of type t, for example
// `a duration such as "6s", at least 1s`.
func Notation(t reflect.Type, structField *reflect.StructField) string {
	text := baseNotation(t)
	if structField == nil {
		return text
	}
	if allowed := structField.Tag.Get("oneof"); allowed != "" {
		return "one of " + strings.Join(strings.Fields(allowed), ", ")
	}
	if pattern := structField.Tag.Get("pattern"); pattern != "" {
		text += " matching " + pattern
	}
	if low := structField.Tag.Get("min"); low != "" {
		text += ", at least " + low
	}
	if high := structField.Tag.Get("max"); high != "" {
		text += ", at most " + high
	}
	return text
}

// baseNotation describes the values of a type without regard to tags.
func baseNotation(t reflect.Type) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := reflect.New(t).Interface().(type) {
	case *Duration:
		return "a duration such as " + value.Example()
	case *Bytes:
		return "a size such as " + value.Example()
	case *Fraction:
		return "a fraction from 0 to 1 such as " + value.Example()
	case *Cores:
		return "a number of cores such as " + value.Example()
	case *TimeOfDay:
		return "a time of day in UTC such as " + value.Example()
	case *Instant:
		return "a time such as " + value.Example()
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a list of: " + baseNotation(t.Elem())
	case reflect.Map:
		return "a mapping of names to text"
	case reflect.Struct:
		return "a mapping"
	}
	return "text"
}
