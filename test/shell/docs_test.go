package shell

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/tree"
)

// root is the path from this folder to the root of the project.
const root = "../.."

// readPage returns the text of a file, given by its path from the root of the project.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	require.NoError(t, err)
	return string(text)
}

// tableRow returns the table row of a page whose first cell is the word, or an empty string.
func tableRow(page, word string) string {
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "| `"+word+"`") {
			return line
		}
	}
	return ""
}

func TestSettingsPageListsEveryKeyOfTheTree(t *testing.T) {
	page := readPage(t, "docs/SETTINGS.md")
	for _, spec := range tree.Specs() {
		row := tableRow(page, spec.Key)
		require.NotEmpty(t, row, spec.Key)
		require.Contains(t, row, spec.Help)
		require.Contains(t, row, "| "+spec.Default)
	}
}

func TestSettingsPageListsEveryFlagOfTheDaemon(t *testing.T) {
	page := readPage(t, "docs/SETTINGS.md")
	help := runProgram(t, nil, "samphireflowd", "--help").stderr
	flags := regexp.MustCompile(`(?m)^  -([a-z-]+)`).FindAllStringSubmatch(help, -1)
	require.NotEmpty(t, flags)
	for _, flag := range flags {
		row := tableRow(page, "--"+flag[1])
		require.NotEmpty(t, row, flag[1])
		require.Contains(t, row, "SAMPHIREFLOW_"+strings.ToUpper(strings.ReplaceAll(flag[1], "-", "_")))
	}
}

// logField matches each field that a log statement writes.
var logField = regexp.MustCompile(`\.(?:Str|Strs|Bool|Int|Uint32|Uint64|Float64|Dur|Time|AnErr|Interface)\("([a-z_]+)"`)

func TestLogsPageListsEveryField(t *testing.T) {
	page := readPage(t, "docs/LOGS.md")
	seen := 0
	for _, dir := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, field := range logField.FindAllStringSubmatch(string(text), -1) {
				seen++
				require.Contains(t, page, "`"+field[1]+"`", "field of %s", path)
			}
			return err
		})
		require.NoError(t, err)
	}
	require.NotZero(t, seen)
}

func TestDocLinksResolve(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	require.NoError(t, err)
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for _, page := range append(pages, filepath.Join(root, "README.md")) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, target := range link.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), target[1]))
			require.NoError(t, err, "link in %s", page)
		}
	}
}
