package protocol

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"brassdale/internal/testsupport"
)

// TestGoldenKeys checks the JSON keys, with the kinds of their values, of the platform's file, of endpoint lists and of the messages of a
// handover. The platform's file is only read, and the case of its keys is ignored, so the golden file has them in lower case.
func TestGoldenKeys(t *testing.T) {
	var got strings.Builder
	fmt.Fprintln(&got, "==== configuration")
	writeKeys(&got, reflect.TypeFor[Config](), "", strings.ToLower)
	asIs := func(key string) string { return key }
	fmt.Fprintln(&got, "==== list")
	writeKeys(&got, reflect.TypeFor[List](), "", asIs)
	fmt.Fprintln(&got, "==== handover")
	writeKeys(&got, reflect.TypeFor[HandoverMessage](), "", asIs)

	testsupport.CheckGolden(t, "testdata/keys.txt", []byte(got.String()))
}

// writeKeys writes the path and kind of each value of a type that encoding/json reads or writes, in the order of the encoding.
// mapKey returns a key as the golden file has it.
func writeKeys(out *strings.Builder, typ reflect.Type, path string, mapKey func(string) string) {
	if typ == reflect.TypeFor[time.Time]() || reflect.PointerTo(typ).Implements(reflect.TypeFor[json.Marshaler]()) ||
		reflect.PointerTo(typ).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		fmt.Fprintf(out, "%s custom encoding\n", path)
		return
	}
	switch typ.Kind() {
	case reflect.Pointer:
		writeKeys(out, typ.Elem(), path, mapKey)
	case reflect.Slice, reflect.Array:
		writeKeys(out, typ.Elem(), path+"[]", mapKey)
	case reflect.Map:
		writeKeys(out, typ.Elem(), path+"{"+typ.Key().Kind().String()+"}", mapKey)
	case reflect.Struct:
		for field := range typ.Fields() {
			name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
			switch {
			case field.Anonymous && name == "":
				writeKeys(out, field.Type, path, mapKey)
			case !field.IsExported() || name == "-":
			default:
				if name == "" {
					name = field.Name
				}
				if options != "" {
					options = "," + options
				}
				writeKeys(out, field.Type, path+"."+mapKey(name)+options, mapKey)
			}
		}
	default:
		fmt.Fprintf(out, "%s %s\n", path, typ.Kind())
	}
}
