package testsupport

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"
)

// CheckStored checks that the JSON in a file decodes to the value want, and that want encodes to the same bytes.
func CheckStored(t *testing.T, path string, want any) {
	t.Helper()
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	CheckJSON(t, path, stored, want)
}

// CheckJSON checks that the JSON in stored decodes to the value want, and that want encodes to the same bytes. Errors begin with the name.
func CheckJSON(t *testing.T, name string, stored []byte, want any) {
	t.Helper()
	read := reflect.New(reflect.TypeOf(want))
	if err := json.Unmarshal(stored, read.Interface()); err != nil {
		t.Errorf("%s: %v", name, err)
	} else if got := read.Elem().Interface(); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read %+v, want %+v", name, got, want)
	}
	if written, err := json.Marshal(want); err != nil || string(written) != string(stored) {
		t.Errorf("%s: wrote (error %v)\n%s\nwant\n%s", name, err, written, stored)
	}
}

// CheckAllSet checks that a value and all exported fields, elements and map values below it are set: none is zero, and no slice or
// map is empty. With an unset field, a comparison would not show whether the field is read and written. Errors begin with the name.
func CheckAllSet(t *testing.T, name string, value any) {
	t.Helper()
	for _, path := range unset(name, reflect.ValueOf(value)) {
		t.Errorf("%s is not set", path)
	}
}

// CheckFieldsSet checks that no field of a struct is zero, but not the values below its fields. It is for values whose parts other tests
// check.
func CheckFieldsSet(t *testing.T, name string, value any) {
	t.Helper()
	for field, content := range reflect.ValueOf(value).Fields() {
		if content.IsZero() {
			t.Errorf("%s: %s is not set", name, field.Name)
		}
	}
}

// unset returns the paths of all unset values, from the value itself down.
func unset(path string, value reflect.Value) []string {
	if value.IsZero() || (value.Kind() == reflect.Slice || value.Kind() == reflect.Map) && value.Len() == 0 {
		return []string{path}
	}
	var paths []string
	switch value.Kind() {
	case reflect.Pointer:
		paths = unset(path, value.Elem())
	case reflect.Slice:
		for i := range value.Len() {
			paths = append(paths, unset(fmt.Sprintf("%s[%d]", path, i), value.Index(i))...)
		}
	case reflect.Map:
		for entries := value.MapRange(); entries.Next(); {
			paths = append(paths, unset(fmt.Sprintf("%s[%v]", path, entries.Key()), entries.Value())...)
		}
	case reflect.Struct:
		for field, content := range value.Fields() {
			if field.IsExported() {
				paths = append(paths, unset(path+"."+field.Name, content)...)
			}
		}
	}
	return paths
}
