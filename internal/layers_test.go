package internal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// imports returns the imports of a directory's files without its tests, and their uses of package time and of go statements.
func imports(t *testing.T, dir string) (paths, calls []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			path, _ := strconv.Unquote(spec.Path.Value)
			paths = append(paths, path)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				calls = append(calls, "go")
			case *ast.SelectorExpr:
				if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" {
					calls = append(calls, "time."+n.Sel.Name)
				}
			}
			return true
		})
	}
	return paths, calls
}

// allowedImports are the imports from outside the project that the scheduler and the packages of internal/decisions may have.
var allowedImports = []string{"bytes", "cmp", "container/heap", "container/list", "encoding/binary", "errors", "fmt", "hash/fnv", "iter", "maps",
	"math", "math/bits", "math/rand", "math/rand/v2", "slices", "sort", "strconv", "strings", "time", "github.com/cespare/xxhash/v2"}

// forbiddenCalls are the functions of package time, and the go statement, that these packages must not use.
var forbiddenCalls = []string{"time.Now", "time.Since", "time.Until", "time.After", "time.AfterFunc", "time.NewTimer", "time.NewTicker", "time.Sleep", "time.Tick", "go"}

func TestDecisionsArePure(t *testing.T) {
	dirs := []string{"../scheduler"}
	_ = filepath.WalkDir("decisions", func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && d.Name() != "testdata" {
			dirs = append(dirs, path)
		}
		return err
	})
	for _, dir := range dirs {
		paths, calls := imports(t, dir)
		for _, path := range paths {
			if !slices.Contains(allowedImports, path) && path != "brassdale/scheduler" && !strings.HasPrefix(path, "brassdale/internal/decisions/") {
				t.Errorf("%s imports %s", dir, path)
			}
		}
		for _, call := range calls {
			if slices.Contains(forbiddenCalls, call) {
				t.Errorf("%s uses %s", dir, call)
			}
		}
	}
}

// TestTestSupportIsForTestsOnly checks that no program imports internal/testsupport or a package below it, because its flags are for test
// binaries.
func TestTestSupportIsForTestsOnly(t *testing.T) {
	for _, root := range []string{".", "../scheduler", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			paths, _ := imports(t, path)
			if slices.ContainsFunc(paths, func(path string) bool { return strings.HasPrefix(path, "brassdale/internal/testsupport") }) {
				t.Errorf("%s imports internal/testsupport outside its tests", path)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestLayers checks that package routing uses no network, and that each package imports only packages of the layers below it.
func TestLayers(t *testing.T) {
	own := func(paths []string) (own []string) {
		for _, path := range paths {
			if strings.HasPrefix(path, "brassdale/") {
				own = append(own, strings.TrimPrefix(path, "brassdale/"))
			}
		}
		return own
	}
	allowed := map[string][]string{ // by directory: prefixes of the packages of the project that it may import
		"routing":         {"scheduler", "internal/decisions/"},
		"protocol":        {"scheduler", "internal/routing"},
		"transport":       {"scheduler", "internal/routing", "internal/protocol", "internal/decisions/", "internal/traffic", "internal/listen"},
		"transport/http2": {"scheduler", "internal/routing", "internal/protocol", "internal/decisions/", "internal/transport"},
		"fleet":           {"internal/decisions/", "internal/fleet", "internal/hcldiag", "internal/traffic", "internal/listen"},
		"listen":          {},
		"fleet/raftlog":   {"internal/decisions/"},
		"fleet/gossip":    {"internal/traffic", "internal/decisions/gossippeers"},
		"traffic":         {},
		"operator":        {"internal/decisions/configversions", "internal/hcldiag", "internal/fleet", "internal/protocol", "internal/transport", "internal/endpointcache"},
		"emulator":        {"scheduler", "internal/load", "internal/decisions/failover"},
		"load":            {"internal/protocol", "internal/hcldiag"},
		"endpointcache":   {"scheduler", "internal/routing", "internal/protocol"},
	}
	for dir, may := range allowed {
		paths, _ := imports(t, dir)
		for _, path := range own(paths) {
			if !slices.ContainsFunc(may, func(prefix string) bool { return strings.HasPrefix(path, prefix) }) {
				t.Errorf("%s imports %s", dir, path)
			}
		}
	}
	if paths, _ := imports(t, "routing"); slices.Contains(paths, "net") || slices.Contains(paths, "net/http") {
		t.Error("routing imports net or net/http")
	}
}
