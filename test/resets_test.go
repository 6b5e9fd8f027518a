package test_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/txtar"
)

const (
	repositoryRoot = ".."
	removalsFile   = "cases/resets/removals.txtar"
	// removalTimeout is for one run of the test of a removal.
	removalTimeout = 2 * time.Minute
	// addressInUse is in the output of a test of a site beside another run of the same test.
	addressInUse = "address already in use"
)

// The columns of the table in resetsPage.
const (
	proofColumn   = 4
	testColumn    = 5
	removalColumn = 6
	columnCount   = 7
)

type (
	// removal takes one check out of the code, for which its tests are to fail.
	removal struct {
		tests []removalTest // each of them
		hunks []hunk
	}

	// removalTest is a test in the folder of its package, named as for -run.
	removalTest struct{ pkg, name string }

	// hunk replaces whole lines of a file that occur there once.
	hunk struct {
		file     string
		old, new string
	}
)

var (
	// checkPages are the pages whose first table has rows with removals.
	checkPages = []string{"docs/design/resets.md", "docs/design/configuration.md", "docs/design/starts.md"}

	removeChecks = flag.Bool("remove-checks", false, "run the test of each removal with the check removed")

	kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	quoted    = regexp.MustCompile("`([^`]+)`")
)

// readRemovals reads removalsFile. A section is one removal: its lines are
//
//	test PACKAGE TEST     a test that needs the check
//	file PATH             the file of the hunks that follow
//	-LINE, +LINE          a hunk: the lines to be replaced, then those that replace them
func readRemovals(t *testing.T) map[string]removal {
	t.Helper()
	archive, err := txtar.ParseFile(removalsFile)
	if err != nil {
		t.Fatal(err)
	}
	removals := make(map[string]removal, len(archive.Files))
	for _, section := range archive.Files {
		r, err := parseRemoval(string(section.Data))
		if err != nil {
			t.Fatal(section.Name, err)
		}
		if _, twice := removals[section.Name]; twice || !kebabCase.MatchString(section.Name) {
			t.Fatalf("%q is not in kebab case or occurs twice", section.Name)
		}
		removals[section.Name] = r
	}
	return removals
}

// parseRemoval parses a section of removalsFile.
func parseRemoval(text string) (removal, error) {
	var r removal
	file, replacing := "", false
	for line := range strings.Lines(text) {
		switch words := strings.Fields(line); {
		case len(words) == 0:
		case line[0] == '-':
			if n := len(r.hunks); n == 0 || replacing || r.hunks[n-1].file != file {
				r.hunks = append(r.hunks, hunk{file: file})
			}
			replacing = false
			r.hunks[len(r.hunks)-1].old += line[1:]
		case line[0] == '+' && len(r.hunks) > 0:
			replacing = true
			r.hunks[len(r.hunks)-1].new += line[1:]
		case words[0] == "file" && len(words) == 2:
			file = words[1]
		case words[0] == "test" && len(words) == 3:
			r.tests = append(r.tests, removalTest{words[1], words[2]})
		default:
			return r, fmt.Errorf("unknown line %q", line)
		}
	}
	if len(r.tests) == 0 || len(r.hunks) == 0 {
		return r, errors.New("no test or no lines to remove")
	}
	return r, nil
}

// apply returns the changed files by their absolute paths.
func (r removal) apply() (map[string]string, error) {
	files := make(map[string]string)
	for _, h := range r.hunks {
		name, err := filepath.Abs(filepath.Join(repositoryRoot, h.file))
		if err != nil {
			return nil, err
		}
		text, ok := files[name]
		if !ok {
			b, err := os.ReadFile(name)
			if err != nil {
				return nil, err
			}
			text = "\n" + string(b)
		}
		if n := strings.Count(text, "\n"+h.old); n != 1 {
			return nil, fmt.Errorf("%s has these lines %d times:\n%s", h.file, n, h.old)
		}
		files[name] = strings.Replace(text, "\n"+h.old, "\n"+h.new, 1)
	}
	for name, text := range files {
		files[name] = text[1:]
	}
	return files, nil
}

// checkRows returns the rows of the tables of checkPages, split into columns.
func checkRows(t *testing.T) [][]string {
	t.Helper()
	var rows [][]string
	for _, page := range checkPages {
		rows = append(rows, tableRows(t, page)...)
	}
	return rows
}

// tableRows returns the rows of the first table of a page, split into columns.
func tableRows(t *testing.T, page string) [][]string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repositoryRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(b), "\n| ")
	table, _, _ = strings.Cut(table, "\n\n")
	var rows [][]string
	for line := range strings.Lines(table) {
		columns := strings.Split(strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "|"), "|"), "|")
		if len(columns) != columnCount {
			t.Fatalf("%d columns, want %d: %s", len(columns), columnCount, line)
		}
		for i := range columns {
			columns[i] = strings.TrimSpace(columns[i])
		}
		rows = append(rows, columns)
	}
	if len(rows) < 3 {
		t.Fatal("no table")
	}
	return rows[2:]
}

// names returns the quoted names in a cell of the table, without folders and ".txtar".
func names(cell string) []string {
	var out []string
	for _, match := range quoted.FindAllStringSubmatch(cell, -1) {
		out = append(out, strings.TrimSuffix(path.Base(match[1]), ".txtar"))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// TestResetRowsHaveRemovals guards against a check before a reset that no test needs: each row of
// the table of resets names the removals of its checks. Each of them has a test that the row names,
// and each test of the row is one of them. A row without a proof names none, and one whose proof
// is not a check of ours says so.
func TestResetRowsHaveRemovals(t *testing.T) {
	removals := readRemovals(t)
	used := make(map[string]bool)
	for _, row := range checkRows(t) {
		want, named := names(row[testColumn]), names(row[removalColumn])
		missing := slices.Clone(want)
		for _, name := range named {
			used[name] = true
			covered := false
			for _, test := range removals[name].tests {
				base := path.Base(test.name)
				covered = covered || slices.Contains(want, base)
				missing = slices.DeleteFunc(missing, func(m string) bool { return m == base })
			}
			if !covered {
				t.Errorf("the row %q has no test of the removal %s", row, name)
			}
		}
		if strings.HasPrefix(row[proofColumn], "**none**") || row[removalColumn] == "no check" {
			continue
		}
		if len(named) == 0 || len(missing) > 0 {
			t.Errorf("the row %q has no removals for the tests %q", row, missing)
		}
	}
	for name := range removals {
		if !used[name] {
			t.Errorf("no row names the removal %s", name)
		}
	}
}

// TestRemovalsApply guards against removals that no longer fit the code.
func TestRemovalsApply(t *testing.T) {
	for name, r := range readRemovals(t) {
		if _, err := r.apply(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestRemovedChecksFailTests guards against a check before a reset that no test needs: the tests of
// each removal pass on the code, and fail once the check is removed. It takes some minutes and
// runs only with -remove-checks.
func TestRemovedChecksFailTests(t *testing.T) {
	if !*removeChecks {
		t.Skip("runs with -remove-checks")
	}
	removals := readRemovals(t)
	binaries := make(map[string]string) // of the tests on the code as it is, by package
	for _, r := range removals {
		for _, test := range r.tests {
			if binaries[test.pkg] == "" {
				binaries[test.pkg] = buildTests(t, test.pkg, nil)
			}
		}
	}
	for name, r := range removals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			files, err := r.apply()
			if err != nil {
				t.Fatal(err)
			}
			changed := make(map[string]string) // binaries without the check
			for _, test := range r.tests {
				if changed[test.pkg] == "" {
					changed[test.pkg] = buildTests(t, test.pkg, files)
				}
				if out, err := test.run(binaries[test.pkg]); err != nil || !strings.Contains(out, "--- PASS: "+test.name+" ") {
					t.Fatalf("%s does not pass on the code as it is: %v\n%s", test.name, err, out)
				}
				out, err := test.run(changed[test.pkg])
				if strings.Contains(out, addressInUse) {
					t.Errorf("another process uses the addresses of %s: run it again", test.name)
				} else if err == nil {
					t.Errorf("%s passes without the check", test.name)
				} else if !strings.Contains(out, "--- FAIL: "+test.name+" ") {
					t.Errorf("%s has not failed, but the run has: %v\n%s", test.name, err, out)
				}
			}
		})
	}
}

// buildTests returns the binary of the tests of a package. files are the contents of files that
// replace those of the repository, by their paths.
func buildTests(t *testing.T, pkg string, files map[string]string) (binary string) {
	t.Helper()
	dir := t.TempDir()
	overlay := make(map[string]string, len(files))
	for name, text := range files {
		overlay[name] = filepath.Join(dir, fmt.Sprint(len(overlay), ".go"))
		if err := os.WriteFile(overlay[name], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	b, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		t.Fatal(err)
	}
	overlayFile := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayFile, b, 0o600); err != nil {
		t.Fatal(err)
	}
	binary = filepath.Join(dir, "tests")
	cmd := exec.Command("go", "test", "-c", "-p", "2", "-overlay", overlayFile, "-o", binary, "./"+pkg)
	cmd.Dir = repositoryRoot
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s does not compile:\n%s", pkg, out)
	}
	return binary
}

// run runs the test in a binary of its package's tests.
func (test removalTest) run(binary string) (output string, err error) {
	var pattern []string
	for part := range strings.SplitSeq(test.name, "/") {
		pattern = append(pattern, "^"+regexp.QuoteMeta(part)+"$")
	}
	cmd := exec.Command(binary, "-test.v", "-test.timeout", removalTimeout.String(), "-test.run", strings.Join(pattern, "/"))
	cmd.Dir = filepath.Join(repositoryRoot, test.pkg)
	out, err := cmd.CombinedOutput()
	return string(out), err
}
