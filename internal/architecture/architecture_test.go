package architecture_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// internalFolder is the path of the internal folder, relative to this package.
const internalFolder = ".."

// purePackages are the decision packages. They have no side effects, and take time
// and randomness as arguments.
var purePackages = []string{
	"admission", "backlog", "balance", "coldstart", "continuation", "directory", "engine", "fairshare", "featurelevel", "fingerprint", "health", "jobadmission", "jobstore", "orphans", "ledger", "tenantlimits", "topology", "ownership", "placement",
	"quarantine", "quota", "raft", "relaybudget", "replica/leaderregion", "replica/repair", "overload", "requestrate", "retryafter", "routing", "sharding", "sharing", "simulator", "store/contact", "streamversion", "virtualtime", "waitqueue", "zonedrain",
}

// impureImports give access to the network, the disk or the operating system.
var impureImports = []string{"net", "net/http", "os", "os/exec", "syscall", "crypto/rand", "io/fs"}

// clockFunctions are the functions of package time that read the clock or wait.
var clockFunctions = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// sourceFiles calls visit for each Go file under a folder, except tests.
func sourceFiles(t *testing.T, folder string, visit func(path string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		visit(path, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func imports(file *ast.File) []string {
	var paths []string
	for _, imported := range file.Imports {
		paths = append(paths, strings.Trim(imported.Path.Value, `"`))
	}
	return paths
}

// TestDecisionPackagesArePure checks that no decision package imports the network or
// the disk, reads the clock, uses the global random source or starts a goroutine.
func TestDecisionPackagesArePure(t *testing.T) {
	for _, name := range purePackages {
		files := 0
		sourceFiles(t, filepath.Join(internalFolder, name), func(path string, file *ast.File) {
			files++
			for _, imported := range imports(file) {
				if slices.Contains(impureImports, imported) {
					t.Errorf("%s imports %s; a decision package takes what it needs as arguments", path, imported)
				}
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if impure := impurity(node); impure != "" {
					t.Errorf("%s: %s; a decision package takes time and randomness as arguments", path, impure)
				}
				return true
			})
		})
		if files == 0 {
			t.Errorf("the decision package %s has no source", name)
		}
	}
}

// impurity describes the forbidden operation of a node, or returns "".
func impurity(node ast.Node) string {
	if _, starts := node.(*ast.GoStmt); starts {
		return "it starts a goroutine"
	}
	selector, found := node.(*ast.SelectorExpr)
	if !found {
		return ""
	}
	qualifier, found := selector.X.(*ast.Ident)
	if !found {
		return ""
	}
	function := selector.Sel.Name
	switch {
	case qualifier.Name == "time" && slices.Contains(clockFunctions, function):
		return "it calls time." + function
	case qualifier.Name == "rand" && usesGlobalSource(function):
		return "it draws rand." + function + " from the global source"
	}
	return ""
}

// usesGlobalSource reports whether a name of package rand is a function on the global
// source, which all names but types and constructors are.
func usesGlobalSource(name string) bool {
	types := []string{"Rand", "Source", "Source64", "PCG", "ChaCha8", "Zipf"}
	return !strings.HasPrefix(name, "New") && !slices.Contains(types, name)
}

// TestOnlyTheBenchStartsProcesses checks that no package outside the bench imports
// os/exec.
func TestOnlyTheBenchStartsProcesses(t *testing.T) {
	bench := filepath.Join(internalFolder, "bench")
	sourceFiles(t, internalFolder, func(path string, file *ast.File) {
		if strings.HasPrefix(path, bench+string(filepath.Separator)) {
			return
		}
		if slices.Contains(imports(file), "os/exec") {
			t.Errorf("%s imports os/exec; only the bench starts processes", path)
		}
	})
}
