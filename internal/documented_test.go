package internal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestExportedItemsAreDocumented checks that each package and each exported item has a doc comment: types, functions, methods of exported
// types, constants and variables. A group of constants or variables may have one comment for all.
func TestExportedItemsAreDocumented(t *testing.T) {
	packages := map[string]bool{}
	files := map[string]string{}
	for _, root := range []string{".", "../scheduler", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() && d.Name() == "testdata" {
				return filepath.SkipDir
			}
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				files[path] = filepath.Dir(path)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	set := token.NewFileSet()
	for path, dir := range files {
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		packages[dir] = packages[dir] || file.Doc != nil
		for _, at := range undocumented(file) {
			t.Errorf("%v: exported without a doc comment", set.Position(at))
		}
	}
	for dir, documented := range packages {
		if !documented {
			t.Errorf("%s: the package has no doc comment", dir)
		}
	}
}

// undocumented returns the positions of a file's exported items without a doc comment.
func undocumented(file *ast.File) (at []token.Pos) {
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			if decl.Name.IsExported() && decl.Doc == nil && (decl.Recv == nil || exportedReceiver(decl) && !wellKnownMethods[decl.Name.Name]) {
				at = append(at, decl.Pos())
			}
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				if decl.Doc == nil && exportedWithoutComment(spec) {
					at = append(at, spec.Pos())
				}
			}
		}
	}
	return at
}

// wellKnownMethods are methods of standard library interfaces. They need no doc comment, because their names explain them.
var wellKnownMethods = map[string]bool{"Error": true, "String": true, "Unwrap": true, "Is": true, "ServeHTTP": true, "Len": true, "Less": true, "Swap": true,
	"Push": true, "Pop": true, "Read": true, "Write": true, "Close": true}

func exportedReceiver(decl *ast.FuncDecl) bool {
	receiver := decl.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if index, ok := receiver.(*ast.IndexExpr); ok {
		receiver = index.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}

// exportedWithoutComment reports whether a type, constant or variable is exported and has no comment of its own.
func exportedWithoutComment(spec ast.Spec) bool {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		return spec.Name.IsExported() && spec.Doc == nil && spec.Comment == nil
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			if name.IsExported() && spec.Doc == nil && spec.Comment == nil {
				return true
			}
		}
	}
	return false
}
