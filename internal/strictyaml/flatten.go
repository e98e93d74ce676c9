package strictyaml

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// FieldValue is one scalar field of a struct.
type FieldValue struct {
	Field string // YAML names joined by dots
	Text  string // the value as it is written in a file
}

// Flatten returns the scalar fields of the struct value in declaration order.
// Nil pointers are omitted.
func Flatten(value any) []FieldValue {
	var entries []FieldValue
	walkFields(reflect.Indirect(reflect.ValueOf(value)), "", func(field string, v reflect.Value, _ reflect.StructField) {
		if v.Kind() == reflect.Pointer {
			if v.IsNil() {
				return
			}
			v = v.Elem()
		}
		entries = append(entries, FieldValue{Field: field, Text: textOf(v)})
	})
	return entries
}

// FieldInfo describes one scalar field of a struct type for the reference page.
type FieldInfo struct {
	Field    string
	Notation string
	Doc      string
	Required bool
}

// Describe returns the scalar fields of the struct type of value.
func Describe(value any) []FieldInfo {
	var infos []FieldInfo
	walkFields(reflect.Indirect(reflect.ValueOf(value)), "", func(field string, v reflect.Value, structField reflect.StructField) {
		infos = append(infos, FieldInfo{
			Field: field, Notation: Notation(v.Type(), &structField),
			Doc: structField.Tag.Get("doc"), Required: structField.Tag.Get("required") == "true",
		})
	})
	return infos
}

// walkFields calls visit for every field that is not a struct, and enters the fields
// that are.
func walkFields(v reflect.Value, prefix string, visit func(field string, v reflect.Value, structField reflect.StructField)) {
	for i := range v.NumField() {
		structField := v.Type().Field(i)
		if structField.Anonymous {
			walkFields(v.Field(i), prefix, visit)
			continue
		}
		name := yamlName(structField)
		if name == "" {
			continue
		}
		if v.Field(i).Kind() == reflect.Struct {
			walkFields(v.Field(i), joinField(prefix, name), visit)
			continue
		}
		visit(joinField(prefix, name), v.Field(i), structField)
	}
}

// SetField sets a scalar field of the struct that target points to. The text is
// checked like the value of a decoded field. An empty text clears a pointer
// field. A pointer field gets a new pointer, since other structs may share the
// value that the old one points to.
func SetField(target any, field, text string) error {
	v := reflect.ValueOf(target).Elem()
	var structField reflect.StructField
	for _, name := range strings.Split(field, ".") {
		if v.Kind() != reflect.Struct {
			return fmt.Errorf("field %q does not exist", field)
		}
		index, ok := fieldsOf(v.Type())[name]
		if !ok {
			return fmt.Errorf("field %q does not exist", field)
		}
		structField = v.Type().FieldByIndex(index)
		v = v.FieldByIndex(index)
	}
	if v.Kind() == reflect.Pointer && text == "" {
		v.SetZero()
		return nil
	}
	value := v
	if v.Kind() == reflect.Pointer {
		value = reflect.New(v.Type().Elem()).Elem()
	}
	if err := setText(value, text); err != nil {
		return fmt.Errorf("field %q: %q %w", field, text, err)
	}
	if err := checkTags(value, &structField); err != nil {
		return fmt.Errorf("field %q: %q %w", field, text, err)
	}
	if v.Kind() == reflect.Pointer {
		v.Set(value.Addr())
	}
	return nil
}

// Validate checks the scalar fields of a struct that was not decoded from a file
// against their tags. An empty value is an error only if the field is required.
func Validate(value any) Problems {
	var problems Problems
	add := func(field, detail, remedy string) {
		problems = append(problems, &Problem{Field: field, Detail: detail, Remedy: remedy})
	}
	walkFields(reflect.Indirect(reflect.ValueOf(value)), "", func(field string, v reflect.Value, structField reflect.StructField) {
		required := structField.Tag.Get("required") == "true"
		switch {
		case v.IsZero() && required:
			add(field, "is missing", "add the field")
		case v.IsZero() || v.Kind() == reflect.Map || v.Kind() == reflect.Slice || v.Kind() == reflect.Pointer:
		default:
			if err := checkTags(v, &structField); err != nil {
				add(field, fmt.Sprintf("%q %v", textOf(v), err), remedyFor(v.Addr().Elem(), &structField))
			}
		}
	})
	return problems
}

// Encode returns the struct value as YAML in declaration order. Empty lists,
// empty structs and nil pointers are omitted. The encoding is canonical: equal
// values give equal bytes.
func Encode(value any) []byte {
	var out strings.Builder
	encodeStruct(&out, reflect.Indirect(reflect.ValueOf(value)), "")
	return []byte(out.String())
}

func encodeStruct(out *strings.Builder, v reflect.Value, indent string) {
	for i := range v.NumField() {
		structField := v.Type().Field(i)
		if structField.Anonymous {
			encodeStruct(out, v.Field(i), indent)
			continue
		}
		if name := yamlName(structField); name != "" && !isEmpty(v.Field(i)) {
			encodeField(out, name, v.Field(i), indent)
		}
	}
}

func encodeField(out *strings.Builder, name string, v reflect.Value, indent string) {
	v = reflect.Indirect(v)
	out.WriteString(indent + name + ":")
	switch v.Kind() {
	case reflect.Struct:
		out.WriteString("\n")
		encodeStruct(out, v, indent+"  ")
	case reflect.Slice:
		out.WriteString("\n")
		for i := range v.Len() {
			encodeItem(out, v.Index(i), indent+"  ")
		}
	default:
		out.WriteString(" " + scalarYAML(v) + "\n")
	}
}

func encodeItem(out *strings.Builder, v reflect.Value, indent string) {
	if v.Kind() != reflect.Struct {
		out.WriteString(indent + "- " + scalarYAML(v) + "\n")
		return
	}
	var item strings.Builder
	encodeStruct(&item, v, indent+"  ")
	out.WriteString(indent + "- " + strings.TrimPrefix(item.String(), indent+"  "))
}

func scalarYAML(v reflect.Value) string {
	if scalar, ok := v.Interface().(interface{ IsNumber() bool }); ok && !scalar.IsNumber() {
		return strconv.Quote(textOf(v))
	}
	if v.Kind() == reflect.String {
		return strconv.Quote(v.String())
	}
	return textOf(v)
}

func isEmpty(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Pointer:
		return v.IsNil()
	case reflect.Slice, reflect.Map:
		return v.Len() == 0
	case reflect.Struct:
		for i := range v.NumField() {
			if !isEmpty(v.Field(i)) {
				return false
			}
		}
		return true
	}
	return false
}
