package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	frameHeaderBytes = 12
	// maxPayloadBytes bounds one frame; a snapshot is one frame.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame adds the frame of a payload to buffer.
func appendFrame(buffer, payload []byte) []byte {
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[0:4], castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	return append(append(buffer, header[:]...), payload...)
}

// frameFault says why no frame could be read.
type frameFault int

const (
	frameOK frameFault = iota
	// frameEnd is the regular end of the data.
	frameEnd
	// frameTorn is an unfinished frame: the data ends within it, or nothing but zeros follow.
	frameTorn
	frameBadHeader
	frameBadPayload
)

func (f frameFault) String() string {
	switch f {
	case frameTorn:
		return "the record is not complete"
	case frameBadHeader:
		return "the checksum of the record's length does not match"
	case frameBadPayload:
		return "the checksum of the record does not match"
	}
	return "no fault"
}

// readFrame returns the payload of the frame at the start of data and the frame's size in bytes.
func readFrame(data []byte) (payload []byte, size int, fault frameFault) {
	if len(data) == 0 {
		return nil, 0, frameEnd
	}
	if len(data) < frameHeaderBytes || allZero(data) {
		return nil, 0, frameTorn
	}
	length := binary.LittleEndian.Uint32(data[0:])
	if binary.LittleEndian.Uint32(data[4:]) != crc32.Checksum(data[0:4], castagnoli) || length > maxPayloadBytes {
		return nil, 0, frameBadHeader
	}
	size = frameHeaderBytes + int(length)
	if len(data) < size {
		return nil, 0, frameTorn
	}
	payload = data[frameHeaderBytes:size]
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, 0, frameBadPayload
	}
	return payload, size, frameOK
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
