package gate

import (
	"context"
	"io"
)

// cancelOnClose keeps the context of an exchange until its answer was read.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the exchange and its context.
func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
