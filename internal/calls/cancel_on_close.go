package calls

import (
	"context"
	"io"

	"samphireflow/internal/exchange"
)

// CancelWhenRead cancels the context of an exchange once its response has been read: at once if the response is buffered
// whole, otherwise when its rest is closed. The rest is read from the connection of the exchange, which the end of the context
// closes.
func CancelWhenRead(response *exchange.Response, cancel context.CancelFunc) {
	if response == nil || response.Rest == nil {
		cancel()
		return
	}
	response.Rest = &cancelOnClose{ReadCloser: response.Rest, cancel: cancel}
}

// cancelOnClose is a response body whose exchange's context stays alive until the body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
