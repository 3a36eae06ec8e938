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

// internalFolder is the folder of all packages, from this one.
const internalFolder = ".."

// purePackages decide and do nothing else: time and randomness are arguments.
var purePackages = []string{
	"admission", "backlog", "balance", "coldstart", "continuation", "directory", "engine", "fairshare", "fingerprint", "health", "jobstore", "leftbehind", "ledger", "limits", "ownership", "placement",
	"quarantine", "quota", "raft", "relaybudget", "overload", "requestrate", "retryafter", "routing", "sharding", "sharing", "simulator", "virtualtime", "waitqueue", "zonedrain",
}

// impureImports bring in the network, the disk or the machine.
var impureImports = []string{"net", "net/http", "os", "os/exec", "syscall", "crypto/rand", "io/fs"}

// clockFunctions of the package time read or wait for the machine's clock.
var clockFunctions = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// sourceFiles calls visit with each file of a folder that is not a test.
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

// TestDecisionPackagesArePure reads the source of the decision packages: none
// imports the network or the disk, reads the clock, draws from the global
// source of randomness or starts a goroutine.
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

// impurity names what a node does that a decision must not, or nothing.
func impurity(node ast.Node) string {
	if _, starts := node.(*ast.GoStmt); starts {
		return "it starts a goroutine"
	}
	selector, found := node.(*ast.SelectorExpr)
	if !found {
		return ""
	}
	of, found := selector.X.(*ast.Ident)
	if !found {
		return ""
	}
	function := selector.Sel.Name
	switch {
	case of.Name == "time" && slices.Contains(clockFunctions, function):
		return "it calls time." + function
	case of.Name == "rand" && isGlobalDraw(function):
		return "it draws rand." + function + " from the global source"
	}
	return ""
}

// isGlobalDraw tells whether a name of a package of randomness is a function on
// the global source: all but types and constructors are.
func isGlobalDraw(name string) bool {
	types := []string{"Rand", "Source", "Source64", "PCG", "ChaCha8", "Zipf"}
	return !strings.HasPrefix(name, "New") && !slices.Contains(types, name)
}

// TestOnlyTheBenchStartsProcesses keeps the daemons from starting processes.
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
