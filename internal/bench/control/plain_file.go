package control

import (
	"context"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"

	"samphireflow/internal/state"
)

// plainFile is the baseline: a single instance that appends each command to a file, syncs it and applies it.
type plainFile struct {
	mu      sync.Mutex
	file    *os.File
	machine *state.Machine
}

func openPlainFile(dir string) (*plainFile, error) {
	file, err := os.OpenFile(filepath.Join(dir, "plain"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open the plain file")
	}
	return &plainFile{file: file, machine: state.NewMachine()}, nil
}

// Propose persists a command and applies it.
func (p *plainFile) Propose(_ context.Context, data []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := p.file.Write(data); err != nil {
		return nil, errors.Wrap(err, "write the plain file")
	}
	if err := p.file.Sync(); err != nil {
		return nil, errors.Wrap(err, "sync the plain file")
	}
	return p.machine.Apply(0, 1, data), nil
}
