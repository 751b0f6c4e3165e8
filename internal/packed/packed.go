// Package packed compresses what is sent to many processes: configurations repeat the same names over and over.
package packed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxSize bounds what is unpacked, so that a damaged message cannot fill the memory.
const maxSize = 256 << 20

// worthPacking is the length below which compression gains little.
const worthPacking = 512

// The first byte tells the form of what follows.
const (
	formPlain byte = iota
	formDeflate
)

// Pack compresses data with DEFLATE (RFC 1951) if it is long enough to gain by it. Nothing packs to nothing.
func Pack(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	if len(data) < worthPacking {
		return append([]byte{formPlain}, data...)
	}
	var b bytes.Buffer
	b.WriteByte(formDeflate)
	// Neither the level, which is valid, nor a write to a buffer can fail.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// Is reports whether data was packed, where it may also be an encoded message from before that: those begin with the tag
// of a field, which is never one of the forms.
func Is(data []byte) bool {
	return len(data) > 0 && data[0] <= formDeflate
}

// Unpack returns what was packed.
func Unpack(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	form, data := data[0], data[1:]
	switch form {
	case formPlain:
		return data, nil
	case formDeflate:
	default:
		return nil, errors.Errorf("unpack: form %d is not known", form)
	}
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(unpacked) > maxSize {
		return nil, errors.Errorf("unpack: more than %d bytes", maxSize)
	}
	return unpacked, nil
}
