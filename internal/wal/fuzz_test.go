package wal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/wal"
	"samphireflow/internal/waltest"
)

// openWithReplacedFile replaces one file of a small folder and opens the folder. For arbitrary data, Open must either
// fail or return a log that can be written and read again.
func openWithReplacedFile(t *testing.T, path string, data []byte) {
	disk := waltest.NewDisk()
	writeSampleLog(t, disk)
	disk.Replace(path, append([]byte(nil), data...))
	log, contents, err := wal.Open(options(disk))
	if err != nil {
		return
	}
	next := contents.State.Snapshot.Index + uint64(len(contents.State.Entries)) + 1
	entry := &apiv1.Entry{Index: next, Term: contents.State.HardState.Term}
	require.NoError(t, log.Save(nil, []*apiv1.Entry{entry}, true))
	require.NoError(t, log.Close())
	again, err := wal.Read(disk, dir)
	require.NoError(t, err)
	require.Len(t, again.State.Entries, len(contents.State.Entries)+1)
}

func FuzzSegment(f *testing.F) {
	disk := waltest.NewDisk()
	writeSampleLog(f, disk)
	path := lastSegment(disk)
	data, err := disk.ReadFile(path)
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) { openWithReplacedFile(t, path, data) })
}

func FuzzSnapshot(f *testing.F) {
	const path = dir + "/snapshot-0000000000000004-0000000000000001"
	disk := waltest.NewDisk()
	writeSampleLog(f, disk)
	data, err := disk.ReadFile(path)
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Fuzz(func(t *testing.T, data []byte) { openWithReplacedFile(t, path, data) })
}

// FuzzRecord appends arbitrary payloads in valid frames, which pass the checksums.
func FuzzRecord(f *testing.F) {
	f.Add([]byte{}, []byte{0x12, 0x02, 0x08, 0x15})
	f.Add([]byte{0x22, 0x02, 0x08, 0x03}, []byte{0x1a, 0x02, 0x08, 0x01})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		disk := waltest.NewDisk()
		writeSampleLog(t, disk)
		path := lastSegment(disk)
		data, err := disk.ReadFile(path)
		require.NoError(t, err)
		data = wal.AppendFrame(data, first)
		openWithReplacedFile(t, path, wal.AppendFrame(data, second))
	})
}
