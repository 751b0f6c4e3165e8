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

func entriesBetween(first, last, term uint64) []*apiv1.Entry {
	var list []*apiv1.Entry
	for index := first; index <= last; index++ {
		list = append(list, &apiv1.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("%d/%d", index, term))})
	}
	return list
}

// writeSampleLog writes a small log of several segments with a snapshot. Entry 8 of term 2 replaces that of term 1.
func writeSampleLog(t require.TestingT, disk wal.FS) {
	log, _, err := wal.Open(options(disk))
	require.NoError(t, err)
	require.NoError(t, log.Save(&raft.HardState{Term: 1, Vote: "a"}, entriesBetween(1, 8, 1), true))
	require.NoError(t, log.SaveSnapshot(raft.Snapshot{Index: 4, Term: 1, Data: []byte("image")}, false, 4))
	require.NoError(t, log.Save(&raft.HardState{Term: 2, Vote: "b", Commit: 7}, entriesBetween(8, 20, 2), true))
	require.NoError(t, log.Close())
}

func TestReopenReturnsWhatWasSaved(t *testing.T) {
	disk := waltest.NewDisk()
	writeSampleLog(t, disk)
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

func TestEveryBitFlipIsReportedAsCorruption(t *testing.T) {
	disk := waltest.NewDisk()
	writeSampleLog(t, disk)
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
	require.NoError(t, log.Save(nil, entriesBetween(1, 3, 1), true))
	path := lastSegment(disk)
	before, err := disk.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, log.Save(nil, entriesBetween(4, 4, 1), true))
	require.NoError(t, log.Close())
	after, err := disk.ReadFile(path)
	require.NoError(t, err)
	for cut := len(before); cut < len(after); cut++ {
		torn := waltest.NewDisk()
		for _, other := range disk.Files() {
			data, _ := disk.ReadFile(other)
			torn.Replace(other, data)
		}
		torn.Replace(path, after[:cut:cut])
		log, contents, err := wal.Open(options(torn))
		require.NoError(t, err)
		require.Len(t, contents.State.Entries, 3)
		require.NoError(t, log.Save(nil, entriesBetween(4, 4, 2), true))
		require.NoError(t, log.Close())
		contents, err = wal.Read(torn, dir)
		require.NoError(t, err)
		require.Equal(t, "4/2", string(contents.State.Entries[3].Data))
	}
}

// lastSegment returns the path of the newest segment, to which the log appends.
func lastSegment(disk *waltest.Disk) string {
	newest := ""
	for _, path := range disk.Files() {
		if strings.HasPrefix(filepath.Base(path), "log-") {
			newest = path
		}
	}
	return newest
}

func TestTrailingZerosAreATornTail(t *testing.T) {
	disk := waltest.NewDisk()
	writeSampleLog(t, disk)
	path := lastSegment(disk)
	data, err := disk.ReadFile(path)
	require.NoError(t, err)
	disk.Replace(path, append(data, make([]byte, 4096)...))
	log, contents, err := wal.Open(options(disk))
	require.NoError(t, err)
	require.NoError(t, log.Close())
	require.Len(t, contents.State.Entries, 16)
}

// TestMissingFileIsReportedAsCorruption removes one file at a time. A missing segment may go unnoticed only if the
// snapshot covers all of its entries.
func TestMissingFileIsReportedAsCorruption(t *testing.T) {
	disk := waltest.NewDisk()
	writeSampleLog(t, disk)
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

func TestFailedSyncStopsTheLogPermanently(t *testing.T) {
	disk := waltest.NewDisk()
	log, _, err := wal.Open(options(disk))
	require.NoError(t, err)
	require.NoError(t, log.Save(nil, entriesBetween(1, 2, 1), true))
	disk.FailSyncs(true)
	require.ErrorIs(t, log.Save(nil, entriesBetween(3, 3, 1), true), wal.ErrStopped)
	disk.FailSyncs(false)
	syncs := disk.Syncs()
	require.ErrorIs(t, log.Save(nil, entriesBetween(3, 3, 1), true), wal.ErrStopped)
	require.ErrorIs(t, log.SaveSnapshot(raft.Snapshot{Index: 2, Term: 1}, false, 2), wal.ErrStopped)
	require.Equal(t, syncs, disk.Syncs(), "the log must not retry a failed sync")
}

func TestFullDiskStopsTheLogAndKeepsTheFolderReadable(t *testing.T) {
	for freeBytes := 0; freeBytes < 200; freeBytes++ {
		disk := waltest.NewDisk()
		log, _, err := wal.Open(options(disk))
		require.NoError(t, err)
		require.NoError(t, log.Save(nil, entriesBetween(1, 2, 1), true))
		disk.SetFreeBytes(freeBytes)
		require.ErrorIs(t, log.Save(nil, entriesBetween(3, 12, 1), true), wal.ErrStopped)
		require.ErrorIs(t, log.Save(nil, entriesBetween(3, 3, 1), true), wal.ErrStopped)
		require.NoError(t, log.Close())
		disk.SetFreeBytes(1 << 20)
		log, contents, err := wal.Open(options(disk))
		require.NoError(t, err)
		require.GreaterOrEqual(t, len(contents.State.Entries), 2)
		require.NoError(t, log.Close())
	}
}

// TestUnsyncedRecordsAreDiscarded checks that a process that opens the log again after a full disk acts on nothing that a power loss
// may remove.
func TestUnsyncedRecordsAreDiscarded(t *testing.T) {
	for freeBytes := 0; freeBytes < 200; freeBytes++ {
		disk := waltest.NewDisk()
		log, _, err := wal.Open(options(disk))
		require.NoError(t, err)
		require.NoError(t, log.Save(nil, entriesBetween(1, 2, 1), true))
		disk.SetFreeBytes(freeBytes)
		err = log.Save(nil, entriesBetween(3, 12, 1), true)
		require.ErrorIs(t, err, wal.ErrStopped)
		require.True(t, wal.IsDiskFull(err))
		require.NoError(t, log.DiscardUnsynced())
		require.NoError(t, log.Close())
		disk.SetFreeBytes(1 << 20)
		log, contents, err := wal.Open(options(disk))
		require.NoError(t, err)
		require.Len(t, contents.State.Entries, 2)
		require.NoError(t, log.Save(nil, entriesBetween(3, 3, 1), true))
		require.NoError(t, log.Close())
	}
}

// TestRecordsReadAtTheStartSurviveAPowerLoss guards against an instance that acknowledges entries which its earlier process wrote and
// did not sync before it was killed.
func TestRecordsReadAtTheStartSurviveAPowerLoss(t *testing.T) {
	for seed := range uint64(30) {
		disk := waltest.NewDisk()
		log, _, err := wal.Open(options(disk))
		require.NoError(t, err)
		require.NoError(t, log.Save(nil, entriesBetween(1, 2, 1), true))
		segment := disk.Files()[len(disk.Files())-1]
		synced, err := disk.ReadFile(segment)
		require.NoError(t, err)
		require.NoError(t, log.Save(nil, entriesBetween(3, 3, 1), true))
		written, err := disk.ReadFile(segment)
		require.NoError(t, err)
		require.NoError(t, log.Close())
		disk.Replace(segment, synced)
		unsynced, err := disk.Append(segment)
		require.NoError(t, err)
		_, err = unsynced.Write(written[len(synced):])
		require.NoError(t, err)

		log, contents, err := wal.Open(options(disk))
		require.NoError(t, err)
		require.Len(t, contents.State.Entries, 3)
		disk.PowerLoss(rand.New(rand.NewPCG(seed, 1)))
		_ = log.Close()
		after, err := wal.Read(disk, dir)
		require.NoError(t, err)
		require.Len(t, after.State.Entries, 3, "seed %d", seed)
	}
}

// TestPowerLossWhileSegmentsAreRemoved guards against a folder that is refused as corrupt after the power was lost in the middle of a
// snapshot: of several segments that are removed, the later one may be gone and the earlier one still there.
func TestPowerLossWhileSegmentsAreRemoved(t *testing.T) {
	for changes := 0; ; changes++ {
		whole := false
		for seed := range uint64(20) {
			disk := waltest.NewDisk()
			for range 4 {
				log, _, err := wal.Open(options(disk))
				require.NoError(t, err)
				last := uint64(len(readAll(t, disk).State.Entries))
				require.NoError(t, log.Save(nil, entriesBetween(last+1, last+2, 1), true))
				require.NoError(t, log.Close())
			}
			log, _, err := wal.Open(options(disk))
			require.NoError(t, err)
			disk.FailPowerAfter(changes)
			whole = log.SaveSnapshot(raft.Snapshot{Index: 8, Term: 1, Data: []byte("state")}, false, 8) == nil
			disk.PowerLoss(rand.New(rand.NewPCG(seed, uint64(changes))))
			log, contents, err := wal.Open(options(disk))
			require.NoError(t, err, "%d changes, seed %d", changes, seed)
			require.EqualValues(t, 8, contents.State.Snapshot.Index+uint64(len(contents.State.Entries)))
			require.NoError(t, log.Close())
		}
		if whole {
			return
		}
	}
}

// readAll reads the folder.
func readAll(t *testing.T, disk *waltest.Disk) *wal.Contents {
	contents, err := wal.Read(disk, dir)
	require.NoError(t, err)
	return contents
}

// TestFullDiskDuringAReceivedSnapshot fills the disk up after each possible number of bytes while the log saves a
// snapshot that the leader has sent.
func TestFullDiskDuringAReceivedSnapshot(t *testing.T) {
	for freeBytes := 0; ; freeBytes++ {
		disk := waltest.NewDisk()
		writeSampleLog(t, disk)
		log, before, err := wal.Open(options(disk))
		require.NoError(t, err)
		disk.SetFreeBytes(freeBytes)
		saveErr := log.SaveSnapshot(raft.Snapshot{Index: 12, Term: 3, Data: []byte("other")}, true, 12)
		require.NoError(t, log.Close())
		disk.SetFreeBytes(1 << 20)
		log, contents, err := wal.Open(options(disk))
		require.NoError(t, err, "%d free bytes", freeBytes)
		if contents.State.Snapshot.Index == 4 {
			require.Len(t, contents.State.Entries, len(before.State.Entries))
		} else {
			require.Empty(t, contents.State.Entries, "entries that conflict with the snapshot must be discarded")
			require.NoError(t, log.Save(nil, entriesBetween(13, 13, 3), true))
		}
		require.NoError(t, log.Close())
		after, err := wal.Read(disk, dir)
		require.NoError(t, err, "%d free bytes", freeBytes)
		if after.State.Snapshot.Index == 12 {
			require.Len(t, after.State.Entries, 1, "%d free bytes", freeBytes)
		}
		if saveErr == nil {
			return
		}
	}
}

func TestFolderIsLockedAndBelongsToOneInstance(t *testing.T) {
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

// TestPowerLoss checks that after any power loss the folder holds all data that was synced and no data that was never
// written.
func TestPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		disk := waltest.NewDisk()
		log, _, err := wal.Open(options(disk))
		require.NoError(t, err)
		states := []modelState{{}}
		lastDurable := 0
		for step := rapid.IntRange(1, 60).Draw(t, "steps"); step > 0; step-- {
			current := states[len(states)-1]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				sync := rapid.Bool().Draw(t, "sync")
				current.term += uint64(rapid.IntRange(0, 1).Draw(t, "term"))
				from := current.last + 1 - min(uint64(rapid.IntRange(0, 2).Draw(t, "back")), current.last-current.snapshot)
				list := entriesBetween(from, from+uint64(rapid.IntRange(0, 5).Draw(t, "count")), current.term)
				for _, entry := range list {
					require.NoError(t, log.Save(&raft.HardState{Term: current.term}, []*apiv1.Entry{entry}, sync))
					current = current.withEntry(entry)
					states = append(states, current)
				}
				if sync {
					lastDurable = len(states) - 1
				}
			case 3:
				current.snapshot = current.snapshot + (current.last-current.snapshot)/2
				require.NoError(t, log.SaveSnapshot(raft.Snapshot{Index: current.snapshot, Term: current.termAt(current.snapshot), Data: []byte{1}}, false, current.snapshot))
				states = append(states, current)
				lastDurable = len(states) - 1
			case 4:
				current = modelState{snapshot: current.last + 5, last: current.last + 5, term: current.term}
				require.NoError(t, log.SaveSnapshot(raft.Snapshot{Index: current.snapshot, Term: current.term, Data: []byte{1}}, true, current.snapshot))
				states = append(states, current)
				lastDurable = len(states) - 1
			case 5:
				disk.PowerLoss(random)
				var contents *wal.Contents
				log, contents, err = wal.Open(options(disk))
				require.NoError(t, err)
				found := newestMatch(states, lastDurable, contents)
				require.GreaterOrEqual(t, found, 0, "%+v\n%+v", states[lastDurable:], contents.State)
				states = states[found : found+1]
				states[0].term = contents.State.HardState.Term
				lastDurable = 0
			}
		}
	})
}

// modelState is the expected content of a folder after one write.
type modelState struct {
	snapshot, last, term uint64
	entries              string
}

func (m modelState) withEntry(entry *apiv1.Entry) modelState {
	kept := ""
	for index := m.snapshot + 1; index < entry.Index; index++ {
		kept += m.entryText(index)
	}
	m.entries = kept + fmt.Sprintf("[%d/%d]", entry.Index, entry.Term)
	m.last = entry.Index
	return m
}

func (m modelState) termAt(index uint64) uint64 {
	var at, term uint64
	fmt.Sscanf(m.entryText(index), "[%d/%d]", &at, &term)
	return term
}

// entryText returns the text of the entry with an index, or "" if there is none.
func (m modelState) entryText(index uint64) string {
	for _, part := range splitEntries(m.entries) {
		var at, term uint64
		fmt.Sscanf(part, "[%d/%d]", &at, &term)
		if at == index {
			return part
		}
	}
	return ""
}

func splitEntries(text string) []string {
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

// newestMatch returns the index of the newest state, from lastDurable on, that matches the contents, or -1.
func newestMatch(states []modelState, lastDurable int, contents *wal.Contents) int {
	for i := len(states) - 1; i >= lastDurable; i-- {
		if states[i].matches(contents) {
			return i
		}
	}
	return -1
}

func (m modelState) matches(contents *wal.Contents) bool {
	state := contents.State
	text, want := "", ""
	for _, entry := range state.Entries {
		text += fmt.Sprintf("[%s]", entry.Data)
	}
	for index := m.snapshot + 1; index <= m.last; index++ {
		want += m.entryText(index)
	}
	return state.Snapshot.Index == m.snapshot && text == want
}
