// Package waltest is a file system in memory that loses power, fills up and fails to sync, for tests.
package waltest

import (
	"io"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"samphireflow/internal/wal"
)

var (
	// ErrFull is what a write meets on a full disk.
	ErrFull = errors.New("waltest: no space left")
	// ErrSync is what an injected sync failure returns.
	ErrSync = errors.New("waltest: sync failed")
	// ErrPowerLost is what an open file meets after a power loss.
	ErrPowerLost = errors.New("waltest: the power was lost")
)

// Disk is one instance's disk. It is safe for concurrent use.
type Disk struct {
	mu sync.Mutex
	// names is the folder as the processes see it, durable what a power loss leaves of it.
	names   map[string]*inode
	durable map[string]*inode
	locked  map[string]bool
	// epoch counts the power losses; files that were open before one are dead.
	epoch     int
	room      int
	failSyncs bool
	syncs     int
	// thawed is closed when the disk works, and open while it hangs.
	thawed chan struct{}
}

type inode struct {
	data []byte
	// synced is the length that a power loss leaves at least.
	synced int
	// dropped is set by a failed sync: no later sync makes the data before it last.
	dropped bool
}

const unlimited = 1 << 40

// NewDisk returns a blank disk.
func NewDisk() *Disk {
	d := &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, locked: map[string]bool{}, room: unlimited, thawed: make(chan struct{})}
	close(d.thawed)
	return d
}

// Freeze makes all writes and syncs hang until Thaw.
func (d *Disk) Freeze() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.thawed = make(chan struct{})
}

// Thaw ends a Freeze.
func (d *Disk) Thaw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.thawed)
}

func (d *Disk) awaitThaw() {
	d.mu.Lock()
	thawed := d.thawed
	d.mu.Unlock()
	<-thawed
}

// PowerLoss drops what was not synced, or keeps some of it, as the random source says.
func (d *Disk) PowerLoss(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.locked = map[string]bool{}
	if random.IntN(2) == 0 {
		d.durable = copyNames(d.names)
	}
	d.names = map[string]*inode{}
	for _, name := range sortedNames(d.durable) {
		node := d.durable[name]
		kept := node.synced
		if extra := len(node.data) - node.synced; extra > 0 {
			kept += random.IntN(extra + 1)
		}
		d.names[name] = &inode{data: append([]byte(nil), node.data[:kept]...), synced: kept}
	}
	d.durable = copyNames(d.names)
}

// FailSyncs makes all syncs fail from now on, or work again.
func (d *Disk) FailSyncs(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = fail
}

// SetFreeBytes lets only a number of bytes more be written; what goes beyond is written in part and fails.
func (d *Disk) SetFreeBytes(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = bytes
}

// Syncs returns how often a file was synced.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Files lists the paths of all files, sorted.
func (d *Disk) Files() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedNames(d.names)
}

// Replace sets the content of a file.
func (d *Disk) Replace(path string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[path] = &inode{data: data, synced: len(data)}
	d.durable[path] = d.names[path]
}

// MkdirAll does nothing: folders need not be made.
func (d *Disk) MkdirAll(string) error { return nil }

// Create makes or empties a file.
func (d *Disk) Create(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := &inode{}
	d.names[path] = node
	return &file{d, node, d.epoch}, nil
}

// Append opens an existing file.
func (d *Disk) Append(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, ok := d.names[path]
	if !ok {
		return nil, errors.Errorf("waltest: no file %s", path)
	}
	return &file{d, node, d.epoch}, nil
}

// ReadFile returns a copy of a file.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, ok := d.names[path]
	if !ok {
		return nil, errors.Errorf("waltest: no file %s", path)
	}
	return append([]byte(nil), node.data...), nil
}

// ReadDir lists the names in a folder.
func (d *Disk) ReadDir(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, path := range sortedNames(d.names) {
		if filepath.Dir(path) == dir {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// Rename moves a file over another one.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.names, path)
	return nil
}

// Truncate cuts a file, durably.
func (d *Disk) Truncate(path string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[path]
	node.data = node.data[:size:size]
	node.synced = int(size)
	return nil
}

// SyncDir makes the names in a folder durable.
func (d *Disk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failSyncs {
		return ErrSync
	}
	d.durable = copyNames(d.names)
	return nil
}

// Lock takes the lock file of a folder.
func (d *Disk) Lock(path string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked[path] {
		return nil, wal.ErrLocked
	}
	d.locked[path] = true
	return &lock{d, path, d.epoch}, nil
}

type lock struct {
	disk  *Disk
	path  string
	epoch int
}

func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.epoch == l.disk.epoch {
		delete(l.disk.locked, l.path)
	}
	return nil
}

type file struct {
	disk  *Disk
	node  *inode
	epoch int
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.awaitThaw()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return 0, ErrPowerLost
	}
	written := min(len(data), f.disk.room)
	f.disk.room -= written
	f.node.data = append(f.node.data, data[:written]...)
	if written < len(data) {
		return written, ErrFull
	}
	return written, nil
}

func (f *file) Sync() error {
	f.disk.awaitThaw()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.syncs++
	if f.epoch != f.disk.epoch {
		return ErrPowerLost
	}
	if f.disk.failSyncs {
		f.node.dropped = true
		return ErrSync
	}
	if !f.node.dropped {
		f.node.synced = len(f.node.data)
	}
	return nil
}

func (f *file) Close() error { return nil }

func copyNames(names map[string]*inode) map[string]*inode {
	copied := make(map[string]*inode, len(names))
	for name, node := range names {
		copied[name] = node
	}
	return copied
}

func sortedNames(names map[string]*inode) []string {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
