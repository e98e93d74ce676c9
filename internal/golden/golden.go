// Package golden compares the encoding of messages and stored rows with files
// that an earlier build wrote. It is imported by tests only.
//
// A value of each type is filled with numbers in the order of its fields, so
// that it does not depend on the names in Go. The comparison fails if a
// field that is encoded under its Go name is renamed, if a tag is changed or if
// the fields of a struct that is encoded as an array are reordered.
//
// This command rewrites the files:
//
//	go test ./PACKAGE -run TestEncodingIsUnchanged -update-golden
//
// Do that only together with a change of the format and of its version.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update-golden", false, "rewrite the files in testdata/golden")

// Codec is an encoding of messages or rows.
type Codec struct {
	suffix string
	encode func(any) ([]byte, error)
	decode func([]byte, any) error
	format func([]byte) string // makes encoded data readable in test failures
}

// Codecs of messages between instances and of stored rows.
var (
	CBOR = Codec{".cbor", cbor.Marshal, cbor.Unmarshal, diagnose}
	JSON = Codec{".json", json.Marshal, json.Unmarshal, func(data []byte) string { return string(data) }}
)

// diagnose returns data in CBOR diagnostic notation, or in hexadecimal digits if
// it is not valid CBOR.
func diagnose(data []byte) string {
	text, err := cbor.Diagnose(data)
	if err != nil {
		return fmt.Sprintf("%x (%v)", data, err)
	}
	return text
}

// Check compares the encoding of a filled value of each type with the file
// testdata/golden/NAME and checks that the decoded file encodes to the same
// bytes again. The map holds a zero value of each type by name.
func Check(t *testing.T, codec Codec, values map[string]any) {
	t.Helper()
	for name, zero := range values {
		t.Run(name, func(t *testing.T) {
			value := reflect.New(reflect.TypeOf(zero))
			next := 0
			fill(value.Elem(), &next, 0)
			checkEncoding(t, codec, name, value)
		})
	}
}

func checkEncoding(t *testing.T, codec Codec, name string, value reflect.Value) {
	t.Helper()
	got, err := codec.encode(value.Interface())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join("testdata", "golden", name+codec.suffix)
	if *update {
		writeFile(t, file, got)
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("encoding of %s changed:\ngot  %s\nwant %s", name, codec.format(got), codec.format(want))
	}
	decoded := reflect.New(value.Type().Elem())
	if err := codec.decode(want, decoded.Interface()); err != nil {
		t.Fatal(err)
	}
	reencoded, err := codec.encode(decoded.Interface())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(reencoded, want) {
		t.Errorf("%s is not the same after it is decoded and encoded again:\ngot  %s\nwant %s", name, codec.format(reencoded), codec.format(want))
	}
}

func writeFile(t *testing.T, file string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// maxDepth is the depth at which fill stops, so that it ends for recursive types.
const maxDepth = 8

// fill sets v to a value that is not zero. It takes the values from next, which
// it increments, so that they differ from field to field.
func fill(v reflect.Value, next *int, depth int) {
	if depth > maxDepth || !v.CanSet() {
		return
	}
	*next++
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes(fmt.Appendf(nil, "%d", *next))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next % 120))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next % 120))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *next))
	case reflect.Struct:
		for n := range v.NumField() {
			fill(v.Field(n), next, depth+1)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next, depth+1)
	case reflect.Array:
		for n := range v.Len() {
			fill(v.Index(n), next, depth+1)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for n := range v.Len() {
			fill(v.Index(n), next, depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next, depth+1)
		fill(value, next, depth+1)
		v.SetMapIndex(key, value)
	}
}
