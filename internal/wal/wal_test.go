package wal_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
	"samphireflow/internal/wal"
	"samphireflow/internal/waltest"
)

const dir = "/data"

func options(disk wal.FS) wal.Options {
	return wal.Options{FS: disk, Dir: dir, ClusterID: "c", Name: "a", Identity: "a-1", SegmentBytes: 256}
}

func entries(first, last, term uint64) []*apiv1.Entry {
	var list []*apiv1.Entry
	for index := first; index <= last; index++ {
		list = append(list, &apiv1.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("%d/%d", index, term))})
	}
	return list
}

// fill writes a small log with a snapshot, a few segments and a conflict.
func fill(t require.TestingT, disk wal.FS) {
	log, _, err := wal.Open(options(disk))
	require.NoError(t, err)
	require.NoError(t, log.Save(&raft.HardState{Term: 1, Vote: "a"}, entries(1, 8, 1), true))
	require.NoError(t, log.SaveSnapshot(raft.Snapshot{Index: 4, Term: 1, Data: []byte("image")}, false, 4))
	require.NoError(t, log.Save(&raft.HardState{Term: 2, Vote: "b", Commit: 7}, entries(8, 20, 2), true))
	require.NoError(t, log.Close())
}

func TestReopen(t *testing.T) {
	disk := waltest.NewDisk()
	fill(t, disk)
	log, contents, err := wal.Open(options(disk))
	require.NoError(t, err)
	defer log.Close()
	require.Equal(t, raft.HardState{Term: 2, Vote: "b", Commit: 7}, contents.State.HardState)
	require.Equal(t, uint64(4), contents.State.Snapshot.Index)
	require.Equal(t, "image", string(contents.State.Snapshot.Data))
	require.Len(t, contents.State.Entries, 16)
	require.Equal(t, "8/2", string(contents.State.Entries[3].Data))
	require.Equal(t, "a-1", contents.Identity.Identity)
}

func TestEveryFlippedBitIsRefused(t *testing.T) {
	disk := waltest.NewDisk()
	fill(t, disk)
	for _, path := range disk.Files() {
		data, err := disk.ReadFile(path)
		require.NoError(t, err)
		for bit := 0; bit < 8*len(data); bit++ {
			flipped := append([]byte(nil), data...)
			flipped[bit/8] ^= 1 << (bit % 8)
			disk.Replace(path, flipped)
			_, err := wal.Read(disk, dir)
			var corrupt *wal.CorruptError
			require.ErrorAs(t, err, &corrupt, "%s bit %d", path, bit)
			require.Equal(t, path, corrupt.File)
			require.LessOrEqual(t, corrupt.Offset, int64(bit/8))
		}
		disk.Replace(path, data)
	}
}

func TestEveryTornTailIsRepaired(t *testing.T) {
	disk := waltest.NewDisk()
	log, _, err := wal.Open(options(disk))
	require.NoError(t, err)
	require.NoError(t, log.Save(nil, entries(1, 3, 1), true))
	path := lastSegment(disk)
	whole, err := disk.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, log.Save(nil, entries(4, 4, 1), true))
	require.NoError(t, log.Close())
	full, err := disk.ReadFile(path)
	require.NoError(t, err)
	for cut := len(whole); cut < len(full); cut++ {
		torn := waltest.NewDisk()
		for _, other := range disk.Files() {
			data, _ := disk.ReadFile(other)
			torn.Replace(other, data)
		}
		torn.Replace(path, full[:cut:cut])
		log, contents, err := wal.Open(options(torn))
		require.NoError(t, err)
		require.Len(t, contents.State.Entries, 3)
		require.NoError(t, log.Save(nil, entries(4, 4, 2), true))
		require.NoError(t, log.Close())
		contents, err = wal.Read(torn, dir)
		require.NoError(t, err)
		require.Equal(t, "4/2", string(contents.State.Entries[3].Data))
	}
}

// lastSegment returns the path of the segment that is written to.
func lastSegment(disk *waltest.Disk) string {
	newest := ""
	for _, path := range disk.Files() {
		if strings.HasPrefix(filepath.Base(path), "log-") {
			newest = path
		}
	}
	return newest
}

func TestZerosBehindTheLogAreATornTail(t *testing.T) {
	disk := waltest.NewDisk()
	fill(t, disk)
	path := lastSegment(disk)
	data, err := disk.ReadFile(path)
	require.NoError(t, err)
	disk.Replace(path, append(data, make([]byte, 4096)...))
	log, contents, err := wal.Open(options(disk))
	require.NoError(t, err)
	require.NoError(t, log.Close())
	require.Len(t, contents.State.Entries, 16)
}

func TestMissingSegmentIsRefused(t *testing.T) {
	disk := waltest.NewDisk()
	fill(t, disk)
	for _, path := range disk.Files() {
		if strings.HasPrefix(filepath.Base(path), "log-") && path != lastSegment(disk) {
			data, _ := disk.ReadFile(path)
			require.NoError(t, disk.Remove(path))
			contents, err := wal.Read(disk, dir)
			if err == nil {
				require.Len(t, contents.State.Entries, 16, path)
			} else {
				require.ErrorIs(t, err, wal.ErrCorrupt)
			}
			disk.Replace(path, data)
		}
	}
	require.NoError(t, disk.Remove(dir+"/identity"))
	_, err := wal.Read(disk, dir)
	require.ErrorIs(t, err, wal.ErrCorrupt)
}

func TestFailedSyncStopsTheLogForGood(t *testing.T) {
	disk := waltest.NewDisk()
	log, _, err := wal.Open(options(disk))
	require.NoError(t, err)
	require.NoError(t, log.Save(nil, entries(1, 2, 1), true))
	disk.FailSyncs(true)
	require.ErrorIs(t, log.Save(nil, entries(3, 3, 1), true), wal.ErrStopped)
	disk.FailSyncs(false)
	syncs := disk.Syncs()
	require.ErrorIs(t, log.Save(nil, entries(3, 3, 1), true), wal.ErrStopped)
	require.ErrorIs(t, log.SaveSnapshot(raft.Snapshot{Index: 2, Term: 1}, false, 2), wal.ErrStopped)
	require.Equal(t, syncs, disk.Syncs(), "a failed sync is not repeated")
}

func TestFullDiskStopsTheLogAndTheFolderStaysReadable(t *testing.T) {
	for room := 0; room < 200; room++ {
		disk := waltest.NewDisk()
		log, _, err := wal.Open(options(disk))
		require.NoError(t, err)
		require.NoError(t, log.Save(nil, entries(1, 2, 1), true))
		disk.SetFreeBytes(room)
		require.ErrorIs(t, log.Save(nil, entries(3, 12, 1), true), wal.ErrStopped)
		require.ErrorIs(t, log.Save(nil, entries(3, 3, 1), true), wal.ErrStopped)
		require.NoError(t, log.Close())
		disk.SetFreeBytes(1 << 20)
		log, contents, err := wal.Open(options(disk))
		require.NoError(t, err)
		require.GreaterOrEqual(t, len(contents.State.Entries), 2)
		require.NoError(t, log.Close())
	}
}

// TestStopAmidAReceivedSnapshot ends the writing of a received snapshot at every byte.
func TestStopAmidAReceivedSnapshot(t *testing.T) {
	for room := 0; ; room++ {
		disk := waltest.NewDisk()
		fill(t, disk)
		log, before, err := wal.Open(options(disk))
		require.NoError(t, err)
		disk.SetFreeBytes(room)
		saveErr := log.SaveSnapshot(raft.Snapshot{Index: 12, Term: 3, Data: []byte("other")}, true, 12)
		require.NoError(t, log.Close())
		disk.SetFreeBytes(1 << 20)
		log, contents, err := wal.Open(options(disk))
		require.NoError(t, err, "room %d", room)
		if contents.State.Snapshot.Index == 4 {
			require.Len(t, contents.State.Entries, len(before.State.Entries))
		} else {
			require.Empty(t, contents.State.Entries, "entries of a log that does not hold the snapshot's entry")
			require.NoError(t, log.Save(nil, entries(13, 13, 3), true))
		}
		require.NoError(t, log.Close())
		after, err := wal.Read(disk, dir)
		require.NoError(t, err, "room %d", room)
		if after.State.Snapshot.Index == 12 {
			require.Len(t, after.State.Entries, 1, "room %d", room)
		}
		if saveErr == nil {
			return
		}
	}
}

func TestFolderHasOneOwner(t *testing.T) {
	folder := t.TempDir()
	opts := options(wal.OS{})
	opts.Dir = folder
	log, _, err := wal.Open(opts)
	require.NoError(t, err)
	_, _, err = wal.Open(opts)
	require.ErrorIs(t, err, wal.ErrLocked)
	require.NoError(t, log.Close())
	opts.Name = "b"
	_, _, err = wal.Open(opts)
	require.ErrorIs(t, err, wal.ErrOwnerMismatch)
}

// TestPowerLoss makes sure that after any power loss the folder holds all that was synced, and nothing that was
// never written.
func TestPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		disk := waltest.NewDisk()
		log, _, err := wal.Open(options(disk))
		require.NoError(t, err)
		versions := []model{{}}
		durable := 0
		for step := rapid.IntRange(1, 60).Draw(t, "steps"); step > 0; step-- {
			current := versions[len(versions)-1]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				sync := rapid.Bool().Draw(t, "sync")
				current.term += uint64(rapid.IntRange(0, 1).Draw(t, "term"))
				from := current.last + 1 - min(uint64(rapid.IntRange(0, 2).Draw(t, "back")), current.last-current.snapshot)
				list := entries(from, from+uint64(rapid.IntRange(0, 5).Draw(t, "count")), current.term)
				for _, entry := range list {
					require.NoError(t, log.Save(&raft.HardState{Term: current.term}, []*apiv1.Entry{entry}, sync))
					current = current.with(entry)
					versions = append(versions, current)
				}
				if sync {
					durable = len(versions) - 1
				}
			case 3:
				current.snapshot = current.snapshot + (current.last-current.snapshot)/2
				require.NoError(t, log.SaveSnapshot(raft.Snapshot{Index: current.snapshot, Term: current.termAt(current.snapshot), Data: []byte{1}}, false, current.snapshot))
				versions = append(versions, current)
				durable = len(versions) - 1
			case 4:
				current = model{snapshot: current.last + 5, last: current.last + 5, term: current.term}
				require.NoError(t, log.SaveSnapshot(raft.Snapshot{Index: current.snapshot, Term: current.term, Data: []byte{1}}, true, current.snapshot))
				versions = append(versions, current)
				durable = len(versions) - 1
			case 5:
				disk.PowerLoss(random)
				var contents *wal.Contents
				log, contents, err = wal.Open(options(disk))
				require.NoError(t, err)
				found := matching(versions, durable, contents)
				require.GreaterOrEqual(t, found, 0, "%+v\n%+v", versions[durable:], contents.State)
				versions = versions[found : found+1]
				versions[0].term = contents.State.HardState.Term
				durable = 0
			}
		}
	})
}

// model is what a folder should hold.
type model struct {
	snapshot, last, term uint64
	entries              string
}

func (m model) with(entry *apiv1.Entry) model {
	kept := ""
	for index := m.snapshot + 1; index < entry.Index; index++ {
		kept += m.field(index)
	}
	m.entries = kept + fmt.Sprintf("[%d/%d]", entry.Index, entry.Term)
	m.last = entry.Index
	return m
}

func (m model) termAt(index uint64) uint64 {
	var at, term uint64
	fmt.Sscanf(m.field(index), "[%d/%d]", &at, &term)
	return term
}

// field returns the text of one entry.
func (m model) field(index uint64) string {
	for _, part := range splitFields(m.entries) {
		var at, term uint64
		fmt.Sscanf(part, "[%d/%d]", &at, &term)
		if at == index {
			return part
		}
	}
	return ""
}

func splitFields(text string) []string {
	var parts []string
	start := 0
	for i, r := range text {
		if r == ']' {
			parts = append(parts, text[start:i+1])
			start = i + 1
		}
	}
	return parts
}

func matching(versions []model, durable int, contents *wal.Contents) int {
	for i := len(versions) - 1; i >= durable; i-- {
		if versions[i].equals(contents) {
			return i
		}
	}
	return -1
}

func (m model) equals(contents *wal.Contents) bool {
	state := contents.State
	text, want := "", ""
	for _, entry := range state.Entries {
		text += fmt.Sprintf("[%s]", entry.Data)
	}
	for index := m.snapshot + 1; index <= m.last; index++ {
		want += m.field(index)
	}
	return state.Snapshot.Index == m.snapshot && text == want
}
