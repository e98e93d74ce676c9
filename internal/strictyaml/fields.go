package strictyaml

import (
	"reflect"
	"strings"
)

// fieldsOf returns the YAML fields of a struct with their indexes. Fields of
// embedded structs belong to the outer one.
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
