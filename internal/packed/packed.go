// Package packed compresses messages that are sent to many processes. Configurations compress well, because they repeat
// the same names.
package packed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxUnpackedSize bounds the size of unpacked data, so that a corrupt message cannot exhaust the memory.
const maxUnpackedSize = 256 << 20

// minCompressedInput is the length in bytes from which data is compressed; compression gains little below it.
const minCompressedInput = 512

// The first byte of packed data is the format of the rest.
const (
	formatPlain byte = iota
	formatDeflate
)

// writers holds unused writers, because each one allocates more than a megabyte.
var writers = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Pack compresses data with DEFLATE (RFC 1951) if it is long enough. It packs empty data to nil.
func Pack(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	if len(data) < minCompressedInput {
		return append([]byte{formatPlain}, data...)
	}
	var b bytes.Buffer
	b.WriteByte(formatDeflate)
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	// Writing to a bytes.Buffer never fails.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// Is reports whether data is packed. It tells packed data from encoded messages that were stored before packing was
// introduced: those begin with the tag of a field, which is never the value of a format.
func Is(data []byte) bool {
	return len(data) > 0 && data[0] <= formatDeflate
}

// Unpack returns the data that Pack packed.
func Unpack(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	format, data := data[0], data[1:]
	switch format {
	case formatPlain:
		return data, nil
	case formatDeflate:
	default:
		return nil, errors.Errorf("unpack: form %d is not known", format)
	}
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpackedSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(unpacked) > maxUnpackedSize {
		return nil, errors.Errorf("unpack: more than %d bytes", maxUnpackedSize)
	}
	return unpacked, nil
}
