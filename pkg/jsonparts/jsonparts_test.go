package jsonparts_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryhook.example/pkg/jsonparts"
)

var repetition = regexp.MustCompile(`([\[\]])\*(\d+)`)

// expand replaces each X*N by N times X.
func expand(text string) string {
	return repetition.ReplaceAllStringFunc(text, func(s string) string {
		n, _ := strconv.Atoi(s[2:]) // digits only
		return strings.Repeat(s[:1], n)
	})
}

// split returns the parts of a list, or of an object with their names.
func split(text string) (parts []string, err error) {
	if strings.HasPrefix(text, "{") {
		members, err := jsonparts.Object([]byte(text))
		for _, m := range members {
			parts = append(parts, m.Name+"="+string(m.Value))
		}
		return parts, err
	}
	list, err := jsonparts.List([]byte(text))
	for _, p := range list {
		parts = append(parts, string(p))
	}
	return parts, err
}

// TestValues guards against a part of a list that hides the others, and against a value that is
// cut off and seems complete.
func TestValues(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("testdata", "values.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		columns := strings.Split(strings.TrimSpace(line), "|")
		if strings.HasPrefix(line, "#") || len(columns) < 3 {
			continue
		}
		value := strings.TrimSpace(columns[0])
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			parts, err := split(expand(value))
			is.Equal(strings.ReplaceAll(strings.Join(parts, " "), "[ ]", "[_]"), expand(strings.TrimSpace(columns[1])))
			is.Equal(err != nil, strings.TrimSpace(columns[2]) == "error")
		})
	}
}

// FuzzParts checks that a valid value is split into valid parts, and that no other is accepted.
func FuzzParts(f *testing.F) {
	f.Add([]byte(`{"a":[1,"b"],"c":{"d":null}}`))
	f.Add([]byte(`[1e400,"\ud800",[[]]]`))
	f.Add([]byte("[\"\xff\", 1,]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, listErr := jsonparts.List(b)
		members, objectErr := jsonparts.Object(b)
		for _, m := range members {
			list = append(list, m.Value)
		}
		if listErr != nil && objectErr != nil {
			return
		}
		if !json.Valid(b) {
			t.Fatalf("accepted %q", b)
		}
		for _, part := range list {
			if !json.Valid(part) {
				t.Fatalf("part %q of %q", part, b)
			}
		}
	})
}
