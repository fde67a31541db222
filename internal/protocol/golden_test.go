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
// handover. The platform's file is only read, whatever the case of its keys: they are in lower case in the golden file.
func TestGoldenKeys(t *testing.T) {
	var got strings.Builder
	fmt.Fprintln(&got, "==== configuration")
	writeKeys(&got, reflect.TypeFor[Config](), "", strings.ToLower)
	asIs := func(key string) string { return key }
	fmt.Fprintln(&got, "==== list")
	writeKeys(&got, reflect.TypeFor[List](), "", asIs)
	fmt.Fprintln(&got, "==== succession")
	writeKeys(&got, reflect.TypeFor[HandoverMessage](), "", asIs)

	testsupport.CheckGolden(t, "testdata/keys.txt", []byte(got.String()))
}

// writeKeys writes the path and kind of each value that encoding/json reads or writes of a type, in the order in which it
// writes them.
func writeKeys(out *strings.Builder, of reflect.Type, path string, spell func(string) string) {
	if of == reflect.TypeFor[time.Time]() || reflect.PointerTo(of).Implements(reflect.TypeFor[json.Marshaler]()) ||
		reflect.PointerTo(of).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		fmt.Fprintf(out, "%s own form\n", path)
		return
	}
	switch of.Kind() {
	case reflect.Pointer:
		writeKeys(out, of.Elem(), path, spell)
	case reflect.Slice, reflect.Array:
		writeKeys(out, of.Elem(), path+"[]", spell)
	case reflect.Map:
		writeKeys(out, of.Elem(), path+"{"+of.Key().Kind().String()+"}", spell)
	case reflect.Struct:
		for field := range of.Fields() {
			name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
			switch {
			case field.Anonymous && name == "":
				writeKeys(out, field.Type, path, spell)
			case !field.IsExported() || name == "-":
			default:
				if name == "" {
					name = field.Name
				}
				if options != "" {
					options = "," + options
				}
				writeKeys(out, field.Type, path+"."+spell(name)+options, spell)
			}
		}
	default:
		fmt.Fprintf(out, "%s %s\n", path, of.Kind())
	}
}
