package strictyaml

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Entry is one scalar field of a struct.
type Entry struct {
	Field string // dotted YAML names
	Text  string // the value in its notation
}

// Flatten returns the scalar fields of the struct value in declaration order.
// Nil pointers are left out.
func Flatten(value any) []Entry {
	var entries []Entry
	walk(reflect.Indirect(reflect.ValueOf(value)), "", func(field string, v reflect.Value, _ reflect.StructField) {
		if v.Kind() == reflect.Pointer {
			if v.IsNil() {
				return
			}
			v = v.Elem()
		}
		entries = append(entries, Entry{Field: field, Text: textOf(v)})
	})
	return entries
}

// FieldInfo describes one scalar field of a struct type for the reference.
type FieldInfo struct {
	Field    string
	Notation string
	Doc      string
	Required bool
}

// Describe returns the scalar fields of the struct type of value.
func Describe(value any) []FieldInfo {
	var infos []FieldInfo
	walk(reflect.Indirect(reflect.ValueOf(value)), "", func(field string, v reflect.Value, tag reflect.StructField) {
		infos = append(infos, FieldInfo{
			Field: field, Notation: Notation(v.Type(), &tag),
			Doc: tag.Tag.Get("doc"), Required: tag.Tag.Get("required") == "true",
		})
	})
	return infos
}

// walk calls visit for every field of the struct that is no struct itself.
func walk(v reflect.Value, prefix string, visit func(field string, v reflect.Value, tag reflect.StructField)) {
	for i := range v.NumField() {
		tag := v.Type().Field(i)
		if tag.Anonymous {
			walk(v.Field(i), prefix, visit)
			continue
		}
		name := yamlName(tag)
		if name == "" {
			continue
		}
		if v.Field(i).Kind() == reflect.Struct {
			walk(v.Field(i), join(prefix, name), visit)
			continue
		}
		visit(join(prefix, name), v.Field(i), tag)
	}
}

// SetField sets the scalar field of the struct that target points to from its
// text, checked like a decoded one. For a pointer field, an empty text clears
// the field. Values that pointers refer to are replaced and never modified.
func SetField(target any, field, text string) error {
	v := reflect.ValueOf(target).Elem()
	var tag reflect.StructField
	for _, name := range strings.Split(field, ".") {
		if v.Kind() != reflect.Struct {
			return fmt.Errorf("field %q does not exist", field)
		}
		index, ok := fieldsOf(v.Type())[name]
		if !ok {
			return fmt.Errorf("field %q does not exist", field)
		}
		tag = v.Type().FieldByIndex(index)
		v = v.FieldByIndex(index)
	}
	if v.Kind() == reflect.Pointer && text == "" {
		v.SetZero()
		return nil
	}
	fresh := v
	if v.Kind() == reflect.Pointer {
		fresh = reflect.New(v.Type().Elem()).Elem()
	}
	if err := setText(fresh, text); err != nil {
		return fmt.Errorf("field %q: %q %w", field, text, err)
	}
	if err := checkTags(fresh, &tag); err != nil {
		return fmt.Errorf("field %q: %q %w", field, text, err)
	}
	if v.Kind() == reflect.Pointer {
		v.Set(fresh.Addr())
	}
	return nil
}

// Validate checks the scalar fields of a struct that was not decoded against
// their tags. Empty values are checked only if they are required.
func Validate(value any) Problems {
	var problems Problems
	add := func(field, detail, remedy string) {
		problems = append(problems, &Problem{Field: field, Detail: detail, Remedy: remedy})
	}
	walk(reflect.Indirect(reflect.ValueOf(value)), "", func(field string, v reflect.Value, tag reflect.StructField) {
		required := tag.Tag.Get("required") == "true"
		switch {
		case v.IsZero() && required:
			add(field, "is missing", "add the field")
		case v.IsZero() || v.Kind() == reflect.Map || v.Kind() == reflect.Slice || v.Kind() == reflect.Pointer:
		default:
			if err := checkTags(v, &tag); err != nil {
				add(field, fmt.Sprintf("%q %v", textOf(v), err), remedyFor(v.Addr().Elem(), &tag))
			}
		}
	})
	return problems
}

// Encode writes the struct value as YAML in declaration order. Empty lists,
// empty structs and nil pointers are left out. The result is canonical: equal
// values give equal bytes.
func Encode(value any) []byte {
	var out strings.Builder
	encodeStruct(&out, reflect.Indirect(reflect.ValueOf(value)), "")
	return []byte(out.String())
}

func encodeStruct(out *strings.Builder, v reflect.Value, indent string) {
	for i := range v.NumField() {
		tag := v.Type().Field(i)
		if tag.Anonymous {
			encodeStruct(out, v.Field(i), indent)
			continue
		}
		if name := yamlName(tag); name != "" && !isEmpty(v.Field(i)) {
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
