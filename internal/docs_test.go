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

// checkedPages returns the pages whose names of code must exist: README.md and all pages of docs/ except docs/results. The pages of
// docs/results name the code of the commits that they measured. The paths are relative to this directory.
func checkedPages(t *testing.T) []string {
	t.Helper()
	pages := []string{filepath.Join("..", "README.md")}
	err := filepath.WalkDir(filepath.Join("..", "docs"), func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && entry.Name() == "results":
			return filepath.SkipDir
		case strings.HasSuffix(path, ".md"):
			pages = append(pages, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return pages
}

var (
	wordPattern   = regexp.MustCompile(`\w+`)
	testName      = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	qualifiedName = regexp.MustCompile(`^([A-Za-z0-9]+)\.([A-Za-z]\w*)$`)
	mixedCaseName = regexp.MustCompile(`^[A-Za-z]\w*[a-z0-9][A-Z]\w*$`)
	sourcePath    = regexp.MustCompile(`^((internal|cmd|scheduler|deploy|docs|scenarios)(/[\w.-]+)+|[\w./-]+\.go)$`) // from the root of the repository
)

// TestDocs_nameWhatExists checks that names between backticks on the checked pages exist: package.Name, Type.Member, paths of code, names
// of tests, and names in mixed case, which are identifiers of the code or names of settings.
func TestDocs_nameWhatExists(t *testing.T) {
	names := namesOfCode(t)
	for _, page := range checkedPages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, span := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			if names.lacks(span[1]) {
				t.Errorf("%s names %s, which does not exist", page, span[1])
			}
		}
	}
}

// codeNames has the names that the code declares. Only the field named tests has names from test files.
type codeNames struct {
	declared   map[string]bool // package.Name and Type.Member
	qualifiers map[string]bool // packages and types
	words      map[string]bool // see wordsOfCode
	tests      map[string]bool // tests, fuzz tests and benchmarks
}

// namesOfCode returns the names of the code.
func namesOfCode(t *testing.T) *codeNames {
	t.Helper()
	declared, qualifiers := declarations(t)
	return &codeNames{declared: declared, qualifiers: qualifiers, words: wordsOfCode(t), tests: testsOfCode(t)}
}

// lacks reports whether a text between backticks is a name or a path of code that does not exist.
func (n *codeNames) lacks(span string) bool {
	if sourcePath.MatchString(span) {
		_, err := os.Stat(filepath.Join("..", span))
		return err != nil
	}
	if parts := qualifiedName.FindStringSubmatch(span); parts != nil {
		return n.qualifiers[parts[1]] && !n.declared[span]
	}
	if testName.MatchString(span) {
		return !n.tests[span]
	}
	if !mixedCaseName.MatchString(span) {
		return false
	}
	field := strings.ToUpper(span[:1]) + span[1:] // a JSON key without a tag is the name of a field
	return !n.words[span] && !n.words[field]
}

// wordsOfCode returns all identifiers of the code without its tests, and all words in its string literals, such as JSON keys.
func wordsOfCode(t *testing.T) map[string]bool {
	t.Helper()
	words := map[string]bool{}
	forEachFile(t, codeRoots, isCodeFile, func(file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.Ident:
				words[node.Name] = true
			case *ast.BasicLit:
				for _, word := range wordPattern.FindAllString(node.Value, -1) {
					words[word] = true
				}
			}
			return true
		})
	})
	return words
}

// codeRoots are the directories with the project's code.
var codeRoots = []string{".", "../scheduler", "../cmd"}

// isTestFile reports whether a path names a test file, isCodeFile whether it names any other Go file.
func isTestFile(path string) bool { return strings.HasSuffix(path, "_test.go") }
func isCodeFile(path string) bool { return strings.HasSuffix(path, ".go") && !isTestFile(path) }

// testsOfCode returns the names of all tests, fuzz tests and benchmarks.
func testsOfCode(t *testing.T) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	forEachFile(t, codeRoots, isTestFile, func(file *ast.File) {
		for _, decl := range file.Decls {
			if function, ok := decl.(*ast.FuncDecl); ok && function.Recv == nil && testName.MatchString(function.Name.Name) {
				tests[function.Name.Name] = true
			}
		}
	})
	return tests
}

// forEachFile parses each file below the roots if the function wanted returns true for its path, and calls the function use with the parsed
// file.
func forEachFile(t *testing.T, roots []string, wanted func(path string) bool, use func(*ast.File)) {
	t.Helper()
	for _, root := range roots {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !wanted(path) {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			use(file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// declarations returns every package.Name and Type.Member of the code without its tests, and the packages and types as qualifiers.
func declarations(t *testing.T) (declared, qualifiers map[string]bool) {
	t.Helper()
	declared, qualifiers = map[string]bool{}, map[string]bool{}
	add := func(qualifier, name string) {
		qualifiers[qualifier] = true
		declared[qualifier+"."+name] = true
	}
	forEachFile(t, codeRoots, isCodeFile, func(file *ast.File) {
		for _, decl := range file.Decls {
			addDeclaration(file.Name.Name, decl, add)
		}
	})
	return declared, qualifiers
}

// addDeclaration adds the names of a declaration: names of the package, methods, fields and interface methods.
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

// logLinePages are the pages with tables of log lines. The first column of these tables has the header logLineHeader.
var logLinePages = []string{"on-call.md", "process-handover.md", "settings-reload.md", "connection-limits.md", "endpoint-cache.md", "lab.md"}

const logLineHeader = "| line (`msg`) |"

// TestDocs_logLinesExist checks that each log line that the pages explain exists in the code.
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

// logMessage returns the fixed part of a log line on a page, which is the text before keys and dots. It returns an empty text for a single
// key, and for the line that the program prints before it logs.
func logMessage(span string) string {
	message, _, _ := strings.Cut(span, " worker=")
	message, _, _ = strings.Cut(message, " ...")
	if strings.Contains(message, "=") || strings.HasPrefix(message, "brassdale: ") || !strings.Contains(message, " ") && message != "ready" && message != "listening" {
		return ""
	}
	return message
}

// stringLiterals returns all string literals of the code without its tests. If a literal has the key named worker with a verb, only the
// text before that key is returned.
func stringLiterals(t *testing.T) map[string]bool {
	t.Helper()
	literals := map[string]bool{}
	forEachFile(t, []string{".", "../scheduler"}, isCodeFile, func(file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil {
					fixed, _, _ := strings.Cut(text, " worker=%")
					literals[fixed] = true
				}
			}
			return true
		})
	})
	return literals
}
