package resources

import (
	"context"
	"sync"
	"time"
)

// Memory is what one request and its response hold of the account of their connection. It is safe for concurrent use. A nil
// *Memory has no account: its methods do nothing.
type Memory struct {
	conn *Conn

	mu       sync.Mutex
	bytes    int64
	released bool
	// refused is set for a request that got no memory and whose handler says so.
	refused bool
}

// NewMemory returns the memory of a request, of which the connection already holds a number of bytes.
func (c *Conn) NewMemory(bytes int64) *Memory {
	return &Memory{conn: c, bytes: bytes}
}

// Add takes bytes before they are allocated. It returns ErrNoMemory if there is no room for them: then nothing is taken.
func (m *Memory) Add(bytes int64) error { return m.add(bytes, (*Conn).Hold) }

// AddBuffer is Add for a response that is passed on as it is read if there is no memory to buffer it.
func (m *Memory) AddBuffer(bytes int64) error { return m.add(bytes, (*Conn).HoldBuffer) }

func (m *Memory) add(bytes int64, hold func(c *Conn, bytes int64) error) error {
	if m == nil || m.conn == nil || bytes == 0 {
		return nil
	}
	if m.refused {
		return ErrNoMemory
	}
	if err := hold(m.conn, bytes); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		_ = m.conn.Hold(-bytes)
		return ErrNoMemory
	}
	m.bytes += bytes
	return nil
}

// AddRequest takes the memory of a request in flight beside its header and body.
func (m *Memory) AddRequest() error { return m.Add(requestCost) }

// Release gives back all that was taken, at the end of the request.
func (m *Memory) Release() {
	if m == nil || m.conn == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.conn.Hold(-m.bytes)
	m.bytes, m.released = 0, true
}

// DisplaceStalled closes the connection if its client has made no progress for as long as it takes to be closed for others.
// It is called when the request has something else than memory that others wait for.
func (m *Memory) DisplaceStalled() {
	if m == nil || m.conn == nil {
		return
	}
	if m.conn.keeper.account.DisplaceStalled(m.conn.entry, time.Now()) {
		m.conn.entry.close()
	}
}

type memoryKey struct{}

// WithMemory adds the memory of a request to its context.
func WithMemory(ctx context.Context, m *Memory) context.Context {
	return context.WithValue(ctx, memoryKey{}, m)
}

// MemoryOf returns the memory of the request that a context belongs to, nil if it has no account.
func MemoryOf(ctx context.Context) *Memory {
	m, _ := ctx.Value(memoryKey{}).(*Memory)
	return m
}
