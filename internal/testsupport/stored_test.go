package testsupport

import (
	"reflect"
	"slices"
	"testing"
)

// sample has a field of each kind that unset inspects.
type sample struct {
	Number  int
	Text    *string
	List    []sample
	ByName  map[string]int
	private int
}

// TestUnset_findsWhatIsMissing checks that each unset field, element and map value is found at any depth, and that unexported fields are
// ignored.
func TestUnset_findsWhatIsMissing(t *testing.T) {
	text, empty := "text", ""
	allSet := sample{Number: 1, Text: &text, List: []sample{{Number: 2, Text: &text, List: []sample{}, ByName: map[string]int{"a": 3}, private: 4}}, ByName: map[string]int{"b": 5}}
	for _, c := range []struct {
		name  string
		value sample
		want  []string
	}{
		{"nothing", sample{}, []string{"s"}},
		{"only an unexported field", sample{private: 1}, []string{"s.ByName", "s.List", "s.Number", "s.Text"}},
		{"an empty list below", allSet, []string{"s.List[0].List"}},
		{"an empty text and map, zero elements", sample{Number: 1, Text: &empty, List: []sample{{}}, ByName: map[string]int{"a": 0}},
			[]string{"s.ByName[a]", "s.List[0]", "s.Text"}},
	} {
		if got := unset("s", reflect.ValueOf(c.value)); !slices.Equal(slices.Sorted(slices.Values(got)), c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
