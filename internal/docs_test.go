package internal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// checkedPages are the pages whose names of code must exist.
var checkedPages = []string{"architecture.md", "glossary.md", "on-call.md", "admin-api.md", "process-handover.md", "settings-reload.md", "connection-limits.md"}

var (
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	qualifiedName = regexp.MustCompile(`^([A-Za-z0-9]+)\.([A-Za-z]\w*)$`)
	sourcePath    = regexp.MustCompile(`^(internal|cmd|scheduler|deploy|docs|scenarios)(/[\w.-]+)+$`)
)

// TestDocs_nameWhatExists checks that each package.Name, Type.Member and path between backticks on the checked pages is in the code.
func TestDocs_nameWhatExists(t *testing.T) {
	declared, qualifiers := declarations(t)
	for _, page := range checkedPages {
		text, err := os.ReadFile(filepath.Join("..", "docs", page))
		if err != nil {
			t.Fatal(err)
		}
		for _, span := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			name := span[1]
			if sourcePath.MatchString(name) {
				if _, err := os.Stat(filepath.Join("..", name)); err != nil {
					t.Errorf("%s names %s, which does not exist", page, name)
				}
				continue
			}
			if parts := qualifiedName.FindStringSubmatch(name); parts != nil && qualifiers[parts[1]] && !declared[name] {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	}
}

// declarations returns every package.Name and Type.Member of the code, tests left out, and the packages and types as qualifiers.
func declarations(t *testing.T) (declared, qualifiers map[string]bool) {
	t.Helper()
	declared, qualifiers = map[string]bool{}, map[string]bool{}
	for _, root := range []string{".", "../scheduler", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			add := func(qualifier, name string) {
				qualifiers[qualifier] = true
				declared[qualifier+"."+name] = true
			}
			for _, decl := range file.Decls {
				addDeclaration(file.Name.Name, decl, add)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return declared, qualifiers
}

// addDeclaration adds what a declaration declares: names of the package, methods, fields and interface methods.
func addDeclaration(pkg string, decl ast.Decl, add func(qualifier, name string)) {
	switch decl := decl.(type) {
	case *ast.FuncDecl:
		if decl.Recv == nil {
			add(pkg, decl.Name.Name)
			return
		}
		receiver := decl.Recv.List[0].Type
		if star, ok := receiver.(*ast.StarExpr); ok {
			receiver = star.X
		}
		if index, ok := receiver.(*ast.IndexExpr); ok {
			receiver = index.X
		}
		if name, ok := receiver.(*ast.Ident); ok {
			add(name.Name, decl.Name.Name)
		}
	case *ast.GenDecl:
		for _, spec := range decl.Specs {
			switch spec := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range spec.Names {
					add(pkg, name.Name)
				}
			case *ast.TypeSpec:
				add(pkg, spec.Name.Name)
				ast.Inspect(spec.Type, func(node ast.Node) bool {
					if field, ok := node.(*ast.Field); ok {
						for _, name := range field.Names {
							add(spec.Name.Name, name.Name)
						}
					}
					return true
				})
			}
		}
	}
}

// logLinePages are the pages with tables of log lines, whose first column has the header below.
var logLinePages = []string{"on-call.md", "process-handover.md", "settings-reload.md", "connection-limits.md", "endpoint-cache.md"}

const logLineHeader = "| line (`msg`) |"

// TestDocs_logLinesExist checks that the code has each log line that the pages explain.
func TestDocs_logLinesExist(t *testing.T) {
	literals := stringLiterals(t)
	for _, page := range logLinePages {
		text, err := os.ReadFile(filepath.Join("..", "docs", page))
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		inTable := false
		for line := range strings.Lines(string(text)) {
			if !strings.HasPrefix(line, "|") {
				inTable = false
				continue
			}
			if strings.HasPrefix(line, logLineHeader) {
				inTable = true
				continue
			}
			if !inTable {
				continue
			}
			firstCell, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), "|")
			for _, span := range codeSpan.FindAllStringSubmatch(firstCell, -1) {
				message := logMessage(span[1])
				if message == "" {
					continue
				}
				found++
				if !literals[message] {
					t.Errorf("%s explains the log line %q, which the code does not have", page, message)
				}
			}
		}
		if found == 0 {
			t.Errorf("%s has no table of log lines", page)
		}
	}
}

// logMessage returns the fixed part of a log line on a page: what stands before keys and dots. It is empty for a key alone, and for the
// line that the program prints before it logs.
func logMessage(span string) string {
	message, _, _ := strings.Cut(span, " worker=")
	message, _, _ = strings.Cut(message, " ...")
	if strings.Contains(message, "=") || strings.HasPrefix(message, "brassdale: ") || !strings.Contains(message, " ") && message != "ready" && message != "listening" {
		return ""
	}
	return message
}

// stringLiterals returns all string literals of the code, tests left out, and what stands before the first verb of a format.
func stringLiterals(t *testing.T) map[string]bool {
	t.Helper()
	literals := map[string]bool{}
	for _, root := range []string{".", "../scheduler"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
					if text, err := strconv.Unquote(literal.Value); err == nil {
						fixed, _, _ := strings.Cut(text, " worker=%")
						literals[fixed] = true
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return literals
}
