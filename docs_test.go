package main_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/hoster"
	"github.com/jackdawthread/jackdawthread/settings"
)

var (
	linkPattern       = regexp.MustCompile(`\]\(([^)#]*)(#[^)]*)?\)`)
	headingPattern    = regexp.MustCompile(`(?m)^#+ (.*)$`)
	reasonPattern     = regexp.MustCompile(`Reason\w+ +Reason = "([a-z-]+)"`)
	eventPattern      = regexp.MustCompile(`(?:\.(?:Info|Warn|Error)\(|\.warn\(ctx, )"([a-z]+(?:-[a-z]+)+)"`)
	anchorPunctuation = regexp.MustCompile(`[^\w\- ]`)
)

// readText returns the content of a file of the module.
func readText(t *testing.T, path string) string {
	t.Helper()
	source, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	return string(source)
}

// findFiles returns the paths below the module root that match.
func findFiles(t *testing.T, match func(path string) bool) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && match(path) {
			found = append(found, path)
		}
		return err
	})
	is.New(t).NoErr(err)
	return found
}

// assertDocumented checks that each name occurs as inline code in one of the
// pages.
func assertDocumented(t *testing.T, names []string, pages ...string) {
	t.Helper()
	var text strings.Builder
	for _, p := range pages {
		text.WriteString(readText(t, p))
	}
	is.New(t).True(len(names) > 0)
	for _, n := range names {
		if !strings.Contains(text.String(), "`"+n+"`") {
			t.Errorf("%q is not documented in %v", n, pages)
		}
	}
}

// assertLink checks that a link's file exists and has a heading for its anchor.
func assertLink(t *testing.T, page, file, anchor string) {
	t.Helper()
	target := page
	if file != "" {
		target = filepath.Join(filepath.Dir(page), file)
	}
	if _, err := os.Stat(target); err != nil {
		t.Errorf("%s links to %q, which does not exist", page, file)
		return
	}
	if anchor == "" {
		return
	}
	for _, heading := range headingPattern.FindAllStringSubmatch(readText(t, target), -1) {
		bare := anchorPunctuation.ReplaceAllString(strings.ToLower(heading[1]), "")
		if "#"+strings.ReplaceAll(strings.TrimSpace(bare), " ", "-") == anchor {
			return
		}
	}
	t.Errorf("%s links to %q of %q, which has no such heading", page, anchor, target)
}

func TestPages(t *testing.T) {
	pages := findFiles(t, func(p string) bool { return filepath.Ext(p) == ".md" })
	t.Run("links resolve", func(t *testing.T) {
		for _, page := range pages {
			for _, link := range linkPattern.FindAllStringSubmatch(readText(t, page), -1) {
				if !strings.Contains(link[1], "://") {
					assertLink(t, page, link[1], link[2])
				}
			}
		}
	})
	t.Run("all are in the index", func(t *testing.T) {
		index := readText(t, "docs/README.md")
		for _, page := range pages {
			name, ok := strings.CutPrefix(page, "docs/")
			if ok && name != "README.md" && !strings.Contains(index, "("+name+")") {
				t.Errorf("page %q is not in the index", name)
			}
		}
	})
}

func TestPagesDocumentCode(t *testing.T) {
	captures := func(pattern *regexp.Regexp, paths ...string) []string {
		var all []string
		for _, p := range paths {
			for _, m := range pattern.FindAllStringSubmatch(readText(t, p), -1) {
				all = append(all, m[1])
			}
		}
		return all
	}
	t.Run("packages", func(t *testing.T) {
		sources, err := filepath.Glob("*/*.go")
		is.New(t).NoErr(err)
		var packages []string
		for _, source := range sources {
			packages = append(packages, filepath.Dir(source))
		}
		assertDocumented(t, slices.Compact(packages), "README.md")
	})
	t.Run("reasons", func(t *testing.T) {
		assertDocumented(t, captures(reasonPattern, "common/classifier/classifier.go"), "docs/callers.md")
	})
	t.Run("settings", func(t *testing.T) {
		assertDocumented(t, settings.Keys(), "docs/operators/declarations.md")
	})
	t.Run("log events", func(t *testing.T) {
		sources := findFiles(t, func(p string) bool {
			return filepath.Ext(p) == ".go" && !strings.HasSuffix(p, "_test.go") && !strings.HasPrefix(p, "emulator/")
		})
		assertDocumented(t, captures(eventPattern, sources...), "docs/operators/running.md", "docs/operators/membership.md", "docs/OPERATIONS.md")
	})
	t.Run("settings of forwarding hosts", func(t *testing.T) {
		assertDocumented(t, decoder.Paths(&hoster.Settings{}), "docs/operators/forwarding.md")
	})
}
