package link

import (
	"context"
	"io"
	"time"
)

// pieceWriter sends what is written in pieces, each in its turn.
type pieceWriter struct {
	ctx       context.Context
	transfer  *Transfer
	w         io.Writer
	objective time.Time
}

// Write returns the context's error if it ends first.
func (p *pieceWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		piece := data[written:min(written+pieceBytes, len(data))]
		if err := p.transfer.link.take(p.ctx, len(piece), p.objective); err != nil {
			return written, err
		}
		n, err := p.w.Write(piece)
		written += n
		p.transfer.sent(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
