package internal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
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
