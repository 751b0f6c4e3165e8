package gate

import (
	"io"
	"sync"
)

// slotHolder is the rest of a response whose call keeps its slot until the rest is closed.
type slotHolder struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Close closes the rest of the response and releases the slot.
func (h *slotHolder) Close() error {
	err := h.ReadCloser.Close()
	h.once.Do(h.release)
	return err
}
