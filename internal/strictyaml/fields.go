package strictyaml

import (
	"reflect"
	"strings"
)

// fieldsOf returns the index of each YAML field of a struct by its name. The
// fields of embedded structs count as fields of the struct itself.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		if name := yamlName(f); name != "" {
			fields[name] = f.Index
		}
	}
	return fields
}

// fieldNames returns the YAML names of a struct in declaration order.
func fieldNames(t reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if name := yamlName(f); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// yamlName returns the name in the yaml tag, or "" if the field is not decoded.
func yamlName(f reflect.StructField) string {
	if f.Anonymous || !f.IsExported() {
		return ""
	}
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}
