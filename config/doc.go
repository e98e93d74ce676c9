// Package config decodes the input files other than the settings tree:
// instance files, job files, request files and cell files. Decoding is strict
// and reports every problem of a file; see package strictyaml.
package config
