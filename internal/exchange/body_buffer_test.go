package exchange

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// TestBodyIsBufferedAsFarAsThereIsMemory reads bodies of known and unknown length with a number of bytes of memory.
func TestBodyIsBufferedAsFarAsThereIsMemory(t *testing.T) {
	const limit = 64 << 10
	for name, c := range map[string]struct {
		length, told, memory, buffered int
		whole                          bool
	}{
		"known length":                         {50_000, 50_000, 50_000, 50_000, true},
		"known length, no memory":              {50_000, 50_000, 49_999, 0, false},
		"known length, longer than buffered":   {100_000, 100_000, 1 << 20, limit, false},
		"as long as what is buffered":          {limit, limit, limit, limit, true},
		"unknown length":                       {50_000, -1, 1 << 20, 50_000, true},
		"unknown length, some memory":          {50_000, -1, 20_000, 16 << 10, false},
		"unknown length, longer than buffered": {100_000, -1, 1 << 20, limit, false},
		"empty":                                {0, 0, 0, 0, true},
		"empty, length unknown":                {0, -1, 1 << 20, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			left := int64(c.memory)
			b := bodyBuffer{limit: limit, reserve: func(bytes int64) error {
				if bytes > left {
					return errors.New("no memory")
				}
				left -= bytes
				return nil
			}}
			body := strings.NewReader(strings.Repeat("x", c.length))
			whole, err := b.fill(iotest.HalfReader(body), int64(c.told))
			require.NoError(t, err)
			require.Equal(t, c.whole, whole)
			require.Len(t, b.data, c.buffered)
			require.Equal(t, c.length-c.buffered, body.Len(), "the rest is still to be read")
		})
	}
}

// TestBrokenBodyIsNotWhole lets a body break off, with the error by which a chunked one does.
func TestBrokenBodyIsNotWhole(t *testing.T) {
	b := bodyBuffer{limit: 1 << 10}
	_, err := b.fill(io.MultiReader(strings.NewReader("start"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
