// Package strictyaml decodes the YAML files of operators into Go structs.
//
// It reports every error of a file, each with file, line, field and remedy,
// instead of stopping at the first one. Unknown fields, repeated keys,
// anchors, aliases, tags, values without their unit and values out of range
// are errors. Structs describe their fields with these tags:
//
//	yaml     name of the field
//	required "true" if the field must be present
//	min, max bounds, written like a value of the field
//	oneof    allowed values, separated by spaces
//	pattern  a regular expression that the value must match
//	doc      one sentence for the reference page
package strictyaml
