// Package waltest provides an in-memory file system for tests that injects power losses, full disks, failed syncs and
// hanging writes.
package waltest

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"samphireflow/internal/wal"
)

var (
	// ErrFull is returned by a write for which the disk has too few free bytes.
	ErrFull = errors.Wrap(syscall.ENOSPC, "waltest")
	// ErrSync is returned by a sync while FailSyncs is in effect.
	ErrSync = errors.New("waltest: sync failed")
	// ErrPowerLost is returned for a file that was opened before a power loss.
	ErrPowerLost = errors.New("waltest: the file was opened before a power loss")
)

// Disk is the simulated disk of one instance and implements wal.FS. It is safe for concurrent use.
type Disk struct {
	mu sync.Mutex
	// files are the files by path as processes see them. durableFiles are those whose names survive a power loss.
	files        map[string]*inode
	durableFiles map[string]*inode
	locks        map[string]bool
	// powerLosses counts the power losses. Files and locks that were opened before one are no longer valid.
	powerLosses int
	freeBytes   int
	failSyncs   bool
	// changesLeft is the number of changes that the disk still makes before its power fails, if powerFails is set.
	powerFails  bool
	changesLeft int
	syncs       int
	// thawed is closed unless the disk is frozen.
	thawed chan struct{}
}

type inode struct {
	data []byte
	// syncedBytes is the length of the data that survives a power loss for certain.
	syncedBytes int
	// unsynced holds the lengths of the writes after syncedBytes, in order.
	unsynced []int
	// syncFailed is set after a failed sync. Later syncs of the file report success, but make nothing durable.
	syncFailed bool
}

const unlimitedBytes = 1 << 40

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	d := &Disk{files: map[string]*inode{}, durableFiles: map[string]*inode{}, locks: map[string]bool{}, freeBytes: unlimitedBytes, thawed: make(chan struct{})}
	close(d.thawed)
	return d
}

// Freeze makes all writes and syncs of files block until Thaw.
func (d *Disk) Freeze() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.thawed = make(chan struct{})
}

// Thaw ends the effect of Freeze.
func (d *Disk) Thaw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.thawed)
}

func (d *Disk) waitUntilThawed() {
	d.mu.Lock()
	thawed := d.thawed
	d.mu.Unlock()
	<-thawed
}

// PowerLoss keeps everything that was synced, and of the rest a part that it chooses at random: its beginning, or of each later
// write all, nothing or the beginning, and each change of a name or not. It invalidates open files and releases all locks.
func (d *Disk) PowerLoss(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLosses++
	d.powerFails = false
	d.locks = map[string]bool{}
	for _, name := range sortedPaths(d.changedNames()) {
		if random.IntN(2) == 0 {
			continue
		}
		if node := d.files[name]; node != nil {
			d.durableFiles[name] = node
		} else {
			delete(d.durableFiles, name)
		}
	}
	d.files = map[string]*inode{}
	for _, name := range sortedPaths(d.durableFiles) {
		node := d.durableFiles[name]
		data := node.afterPowerLoss(random)
		d.files[name] = &inode{data: data, syncedBytes: len(data)}
	}
	d.durableFiles = copyFiles(d.files)
}

// changedNames returns the names that were created, renamed or removed since the last sync of the folder. A power loss keeps each of
// these changes or not, whatever it does with the others.
func (d *Disk) changedNames() map[string]*inode {
	changed := map[string]*inode{}
	for _, files := range []map[string]*inode{d.files, d.durableFiles} {
		for name, node := range files {
			if d.files[name] != d.durableFiles[name] {
				changed[name] = node
			}
		}
	}
	return changed
}

// afterPowerLoss returns the data that a power loss leaves of a file. Where a write is missing and a later one is not, the file
// has zeros.
func (n *inode) afterPowerLoss(random *rand.Rand) []byte {
	extra := len(n.data) - n.syncedBytes
	if extra > 0 && random.IntN(2) == 0 {
		return append([]byte(nil), n.data[:n.syncedBytes+random.IntN(extra+1)]...)
	}
	left := append([]byte(nil), n.data[:n.syncedBytes]...)
	offset := n.syncedBytes
	for _, length := range n.unsynced {
		kept := []int{0, length, random.IntN(length + 1)}[random.IntN(3)]
		if kept > 0 {
			left = append(left, make([]byte, offset-len(left))...)
			left = append(left, n.data[offset:offset+kept]...)
		}
		offset += length
	}
	return left
}

// FailSyncs makes all syncs fail from now on, or succeed again.
func (d *Disk) FailSyncs(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = fail
}

// SetFreeBytes sets how many more bytes can be written. A larger write writes only the bytes that fit, and fails.
func (d *Disk) SetFreeBytes(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes = bytes
}

// FailPowerAfter lets the disk make a number of further changes. Later ones fail without effect, until PowerLoss.
func (d *Disk) FailPowerAfter(changes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerFails, d.changesLeft = true, changes
}

// change is called before each change of the disk. It fails once the power has failed.
func (d *Disk) change() error {
	if !d.powerFails {
		return nil
	}
	if d.changesLeft == 0 {
		return ErrPowerLost
	}
	d.changesLeft--
	return nil
}

// Syncs returns the number of calls to sync a file, including failed ones.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Files lists the paths of all files, sorted.
func (d *Disk) Files() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedPaths(d.files)
}

// Replace durably sets the content of a file.
func (d *Disk) Replace(path string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[path] = &inode{data: data, syncedBytes: len(data)}
	d.durableFiles[path] = d.files[path]
}

// MkdirAll does nothing, because a Disk needs no folders.
func (d *Disk) MkdirAll(string) error { return nil }

// Create opens a new file for appending, in place of an existing one.
func (d *Disk) Create(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return nil, err
	}
	node := &inode{}
	d.files[path] = node
	return &file{d, node, d.powerLosses}, nil
}

// Append opens an existing file for appending.
func (d *Disk) Append(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, ok := d.files[path]
	if !ok {
		return nil, errors.Errorf("waltest: no file %s", path)
	}
	return &file{d, node, d.powerLosses}, nil
}

// ReadFile returns a copy of the content of a file.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, ok := d.files[path]
	if !ok {
		return nil, errors.Errorf("waltest: no file %s", path)
	}
	return append([]byte(nil), node.data...), nil
}

// ReadDir returns the names of the files in a folder, sorted.
func (d *Disk) ReadDir(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, path := range sortedPaths(d.files) {
		if filepath.Dir(path) == dir {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// Rename renames a file and replaces an existing file of the new name.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	delete(d.files, path)
	return nil
}

// Truncate durably shortens a file.
func (d *Disk) Truncate(path string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	node, ok := d.files[path]
	if !ok || size > int64(len(node.data)) {
		return errors.Errorf("waltest: no file %s of %d bytes", path, size)
	}
	node.data = node.data[:size:size]
	node.unsynced = nil
	node.syncedBytes = int(size)
	return nil
}

// SyncDir makes the creation, renaming and removal of all files durable.
func (d *Disk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(); err != nil {
		return err
	}
	if d.failSyncs {
		return ErrSync
	}
	d.durableFiles = copyFiles(d.files)
	return nil
}

// Lock locks a path until the lock is closed or the power is lost. It fails with wal.ErrLocked if the path is locked.
func (d *Disk) Lock(path string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locks[path] {
		return nil, wal.ErrLocked
	}
	d.locks[path] = true
	return &lock{d, path, d.powerLosses}, nil
}

type lock struct {
	disk              *Disk
	path              string
	powerLossesAtOpen int
}

func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.powerLossesAtOpen == l.disk.powerLosses {
		delete(l.disk.locks, l.path)
	}
	return nil
}

type file struct {
	disk              *Disk
	node              *inode
	powerLossesAtOpen int
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.waitUntilThawed()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.change(); err != nil {
		return 0, err
	}
	if f.powerLossesAtOpen != f.disk.powerLosses {
		return 0, ErrPowerLost
	}
	written := min(len(data), f.disk.freeBytes)
	f.disk.freeBytes -= written
	f.node.data = append(f.node.data, data[:written]...)
	f.node.unsynced = append(f.node.unsynced, written)
	if written < len(data) {
		return written, ErrFull
	}
	return written, nil
}

func (f *file) Sync() error {
	f.disk.waitUntilThawed()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.change(); err != nil {
		return err
	}
	f.disk.syncs++
	if f.powerLossesAtOpen != f.disk.powerLosses {
		return ErrPowerLost
	}
	if f.disk.failSyncs {
		f.node.syncFailed = true
		return ErrSync
	}
	if !f.node.syncFailed {
		f.node.syncedBytes = len(f.node.data)
		f.node.unsynced = nil
	}
	return nil
}

func (f *file) Close() error { return nil }

func copyFiles(files map[string]*inode) map[string]*inode {
	copied := make(map[string]*inode, len(files))
	for name, node := range files {
		copied[name] = node
	}
	return copied
}

func sortedPaths(files map[string]*inode) []string {
	list := make([]string, 0, len(files))
	for name := range files {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
