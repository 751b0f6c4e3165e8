package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	lockName       = "lock"
	identityName   = "identity"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	// temporarySuffix marks a file that may be incomplete. Open removes such files.
	temporarySuffix = ".tmp"
)

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, sequence)
}

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, index, term)
}

// folderFiles lists the files of a data folder by kind, oldest first.
type folderFiles struct {
	segments  []string
	snapshots []string
	temporary []string
	identity  bool
}

func listFolder(fs FS, dir string) (folderFiles, error) {
	var files folderFiles
	names, err := fs.ReadDir(dir)
	if err != nil {
		return files, err
	}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			files.temporary = append(files.temporary, name)
		case strings.HasPrefix(name, segmentPrefix):
			files.segments = append(files.segments, name)
		case strings.HasPrefix(name, snapshotPrefix):
			files.snapshots = append(files.snapshots, name)
		case name == identityName:
			files.identity = true
		}
	}
	return files, nil
}

// SaveFile atomically and durably writes a small file beside the log. Only the process that holds the lock of the folder may
// call it.
func SaveFile(fs FS, dir, name string, payload []byte) error {
	return errors.Wrapf(writeFrameFile(fs, dir, name, payload), "wal: write %s", name)
}

// LoadFile returns the content of a file that SaveFile wrote, nil if there is none. Damage is reported as a CorruptError.
func LoadFile(fs FS, dir, name string) ([]byte, error) {
	names, err := fs.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "wal: list the data folder")
	}
	if !slices.Contains(names, name) {
		return nil, nil
	}
	return readFrameFile(fs, dir, name)
}

// writeFrameFile atomically and durably writes a file that consists of one frame: it writes and syncs a temporary file
// and renames it.
func writeFrameFile(fs FS, dir, name string, payload []byte) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	file, err := fs.Create(temporary)
	if err != nil {
		return err
	}
	_, err = file.Write(appendFrame(nil, payload))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := fs.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

// readFrameFile reads a file that consists of one frame and returns the payload.
func readFrameFile(fs FS, dir, name string) ([]byte, error) {
	path := filepath.Join(dir, name)
	data, err := fs.ReadFile(path)
	if err != nil {
		return nil, err
	}
	payload, size, status := readFrame(data)
	if status != frameOK {
		return nil, &CorruptError{File: path, Reason: status.String()}
	}
	if size != len(data) {
		return nil, &CorruptError{File: path, Offset: int64(size), Reason: "data after the end of the only record"}
	}
	return payload, nil
}
