package story

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	nodeLog = `   3.2 node-a {"time":1000,"instance":"a","message":"started"}
not a line of ours
{"time":1200,"instance":"a","message":"configuration applied","version":3}
{"time":900,"instance":"a","message":"call refused or failed","request_id":"r1","status":503}
{"time":901,"instance":"a","message":"configuration applied","version":4}
{"time":"broken`
	controlLog = `{"time":1100,"instance":"c","message":"document proposed","number":9}
{"time":1300,"instance":"c","message":"leader of the control group changed","leader":""}
{"time":1400,"instance":"c","message":"attempt without an answer","request_id":"r1"}`
)

func readLogs(t *testing.T, texts ...string) *Log {
	l := &Log{}
	for _, text := range texts {
		require.NoError(t, l.Read(strings.NewReader(text)))
	}
	return l
}

func messages(lines []Line) []string {
	var list []string
	for _, line := range lines {
		list = append(list, line.Instance+": "+line.Message)
	}
	return list
}

// TestLinesOfOneProcessKeepTheirOrder reads the log of a process whose clock was set back between two lines.
func TestLinesOfOneProcessKeepTheirOrder(t *testing.T) {
	for _, texts := range [][]string{{nodeLog, controlLog}, {controlLog, nodeLog}} {
		l := readLogs(t, texts...)
		require.Equal(t, 2, l.Skipped)
		require.Equal(t, []string{
			"a: started", "c: document proposed", "a: configuration applied", "a: configuration applied",
			"c: leader of the control group changed",
		}, messages(l.StateChanges("")))
		require.Equal(t, []string{"a: call refused or failed", "c: attempt without an answer"}, messages(l.Request("r1")))
		require.Equal(t, []string{"c: document proposed", "c: leader of the control group changed"}, messages(l.StateChanges("c")))
		require.Empty(t, l.Request("r2"))
	}
}

func TestRawHoldsTheLineUnchanged(t *testing.T) {
	require.Equal(t, `{"time":1000,"instance":"a","message":"started"}`, readLogs(t, nodeLog).StateChanges("a")[0].Raw)
}

// TestStateChangeMessagesAreLogged searches the sources for each message. It fails when a log call changes its text and
// the list keeps the old one.
func TestStateChangeMessagesAreLogged(t *testing.T) {
	var sources strings.Builder
	for _, root := range []string{"../../../internal", "../../../cmd"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "story") {
				return err
			}
			data, err := os.ReadFile(path)
			sources.Write(data)
			return err
		}))
	}
	for message := range stateChangeMessages {
		require.Contains(t, sources.String(), `Msg("`+message+`")`)
	}
}
