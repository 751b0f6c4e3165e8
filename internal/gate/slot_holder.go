package gate

import (
	"context"
	"io"
	"sync"
)

// slotHolder is the rest of a response whose call keeps its slot until the rest is closed or the exchange has ended. The
// exchange ends at the deadline of the call at the latest, also if whoever reads the rest has stalled.
type slotHolder struct {
	io.ReadCloser
	release func()
}

// newSlotHolder returns the rest of a response; ctx is the context of its exchange.
func newSlotHolder(ctx context.Context, rest io.ReadCloser, release func()) *slotHolder {
	holder := &slotHolder{ReadCloser: rest, release: sync.OnceFunc(release)}
	context.AfterFunc(ctx, holder.release)
	return holder
}

// Close closes the rest of the response and releases the slot.
func (h *slotHolder) Close() error {
	err := h.ReadCloser.Close()
	h.release()
	return err
}
