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

// scalarText returns the text of a scalar node, and whether it is written as
// a plain number.
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

func (d *decoder) scalar(node ast.Node, target reflect.Value, field string, tag *reflect.StructField) {
	text, number, ok := scalarText(node)
	if !ok {
		d.report.Add(field, "write a single value", "is no single value")
		return
	}
	if err := checkNotation(target, number, node); err != nil {
		d.report.Add(field, remedyFor(target, tag), "%q %v", text, err)
		return
	}
	if err := setText(target, text); err != nil {
		d.report.Add(field, remedyFor(target, tag), "%q %v", text, err)
		return
	}
	if err := checkTags(target, tag); err != nil {
		d.report.Add(field, remedyFor(target, tag), "%q %v", text, err)
	}
}

// checkNotation refuses numbers in quotes, numbers for text and other
// mixtures that would be accepted by their text alone.
func checkNotation(target reflect.Value, number bool, node ast.Node) error {
	if scalar, ok := target.Addr().Interface().(Scalar); ok {
		if scalar.IsNumber() && !number {
			return fmt.Errorf("is no plain number")
		}
		return nil
	}
	_, isBool := node.(*ast.BoolNode)
	switch target.Kind() {
	case reflect.Int, reflect.Int64:
		if !number {
			return fmt.Errorf("is no plain number")
		}
	case reflect.Bool:
		if !isBool {
			return fmt.Errorf("is neither true nor false")
		}
	case reflect.String:
		if number || isBool {
			return fmt.Errorf("is no text")
		}
	}
	return nil
}

// setText sets a scalar value from its text.
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
			return fmt.Errorf("is no whole number")
		}
		target.SetInt(value)
	default:
		return fmt.Errorf("has the unsupported type %s", target.Type())
	}
	return nil
}

// textOf returns the text of a scalar value; setText is its inverse.
func textOf(value reflect.Value) string {
	if scalar, ok := value.Interface().(interface{ Text() string }); ok {
		return scalar.Text()
	}
	return fmt.Sprint(value.Interface())
}

func quantityOf(value reflect.Value) float64 {
	if scalar, ok := value.Interface().(interface{ Quantity() float64 }); ok {
		return scalar.Quantity()
	}
	if value.CanInt() {
		return float64(value.Int())
	}
	return 0
}

// checkTags applies the tags min, max, oneof and pattern.
func checkTags(value reflect.Value, tag *reflect.StructField) error {
	if tag == nil {
		return nil
	}
	if allowed := tag.Tag.Get("oneof"); allowed != "" && !slices.Contains(strings.Fields(allowed), textOf(value)) {
		return fmt.Errorf("is not one of: %s", allowed)
	}
	if pattern := tag.Tag.Get("pattern"); pattern != "" && !compiled(pattern).MatchString(textOf(value)) {
		return fmt.Errorf("does not match %s", pattern)
	}
	if bound, ok := boundOf(value, tag, "min"); ok && quantityOf(value) < bound {
		return fmt.Errorf("is below the minimum %s", tag.Tag.Get("min"))
	}
	if bound, ok := boundOf(value, tag, "max"); ok && quantityOf(value) > bound {
		return fmt.Errorf("is above the maximum %s", tag.Tag.Get("max"))
	}
	return nil
}

func boundOf(value reflect.Value, tag *reflect.StructField, name string) (float64, bool) {
	text := tag.Tag.Get(name)
	if text == "" {
		return 0, false
	}
	bound := reflect.New(value.Type()).Elem()
	if err := setText(bound, text); err != nil {
		panic(fmt.Sprintf("tag %s of field %s: %v", name, tag.Name, err))
	}
	return quantityOf(bound), true
}

var patterns sync.Map // text to *regexp.Regexp

func compiled(pattern string) *regexp.Regexp {
	if cached, ok := patterns.Load(pattern); ok {
		return cached.(*regexp.Regexp)
	}
	expression := regexp.MustCompile(pattern)
	patterns.Store(pattern, expression)
	return expression
}

// remedyFor describes a correct value of the field.
func remedyFor(target reflect.Value, tag *reflect.StructField) string {
	if tag != nil && tag.Tag.Get("oneof") != "" {
		return "use one of: " + tag.Tag.Get("oneof")
	}
	return "write " + Notation(target.Type(), tag)
}

// Notation describes the values of a field of type t, for example
// `a duration such as "6s", at least 1s`.
func Notation(t reflect.Type, tag *reflect.StructField) string {
	text := baseNotation(t)
	if tag == nil {
		return text
	}
	if allowed := tag.Tag.Get("oneof"); allowed != "" {
		return "one of " + strings.Join(strings.Fields(allowed), ", ")
	}
	if pattern := tag.Tag.Get("pattern"); pattern != "" {
		text += " matching " + pattern
	}
	if low := tag.Tag.Get("min"); low != "" {
		text += ", at least " + low
	}
	if high := tag.Tag.Get("max"); high != "" {
		text += ", at most " + high
	}
	return text
}

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
