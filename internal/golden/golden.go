// Package golden compares the encoding of messages and stored rows with files
// that an earlier build wrote. It is imported by tests only.
//
// A value of each type is filled by the order of its fields, so that a file
// does not depend on the names in Go. A renamed field that is encoded under
// its own name, a changed tag and a reordered array all fail the comparison.
//
// The files are rewritten by
//
//	go test ./PACKAGE -run TestEncodingIsUnchanged -update-golden
//
// which is right only together with a change of the format and its version.
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

// Codec is a format of messages or rows.
type Codec struct {
	suffix  string
	marshal func(any) ([]byte, error)
	decode  func([]byte, any) error
	format  func([]byte) string
}

// The codecs of messages between instances and of stored rows.
var (
	CBOR = Codec{".cbor", cbor.Marshal, cbor.Unmarshal, diagnose}
	JSON = Codec{".json", json.Marshal, json.Unmarshal, func(data []byte) string { return string(data) }}
)

func diagnose(data []byte) string {
	text, err := cbor.Diagnose(data)
	if err != nil {
		return fmt.Sprintf("%x (%v)", data, err)
	}
	return text
}

// Check compares the encoding of a filled value of each type with the file
// testdata/golden/NAME and checks that the file decodes to the same value.
// Values has one zero value per name.
func Check(t *testing.T, codec Codec, values map[string]any) {
	t.Helper()
	for name, zero := range values {
		t.Run(name, func(t *testing.T) {
			value := reflect.New(reflect.TypeOf(zero))
			next := 0
			fill(value.Elem(), &next, 0)
			check(t, codec, name, value)
		})
	}
}

func check(t *testing.T, codec Codec, name string, value reflect.Value) {
	t.Helper()
	have, err := codec.marshal(value.Interface())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join("testdata", "golden", name+codec.suffix)
	if *update {
		write(t, file, have)
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(have, want) {
		t.Errorf("the encoding of %s changed:\nhave %s\nwant %s", name, codec.format(have), codec.format(want))
	}
	decoded := reflect.New(value.Type().Elem())
	if err := codec.decode(want, decoded.Interface()); err != nil {
		t.Fatal(err)
	}
	again, err := codec.marshal(decoded.Interface())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, want) {
		t.Errorf("%s loses content when it is decoded:\nhave %s\nwant %s", name, codec.format(again), codec.format(want))
	}
}

func write(t *testing.T, file string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// maxDepth bounds values of recursive types.
const maxDepth = 8

// fill sets v to a value that is not zero and differs from field to field.
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
