package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	frameHeaderBytes = 12
	// maxFramePayloadBytes bounds the payload of a frame. A whole snapshot is stored in one frame.
	maxFramePayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with the given payload to buffer.
func appendFrame(buffer, payload []byte) []byte {
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[0:4], castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	return append(append(buffer, header[:]...), payload...)
}

// frameStatus is the outcome of reading a frame.
type frameStatus int

const (
	frameOK frameStatus = iota
	// frameEnd means that no data is left.
	frameEnd
	// frameTorn means that the frame is incomplete: the data ends inside it, or all remaining bytes are zero.
	frameTorn
	frameBadHeader
	frameBadPayload
)

func (f frameStatus) String() string {
	switch f {
	case frameTorn:
		return "the record is incomplete"
	case frameBadHeader:
		return "the length of the record is too large or does not match its checksum"
	case frameBadPayload:
		return "the payload of the record does not match its checksum"
	}
	return "no fault"
}

// readFrame returns the payload of the frame at the start of data and the frame's size in bytes.
func readFrame(data []byte) (payload []byte, size int, status frameStatus) {
	if len(data) == 0 {
		return nil, 0, frameEnd
	}
	if len(data) < frameHeaderBytes || allZero(data) {
		return nil, 0, frameTorn
	}
	length := binary.LittleEndian.Uint32(data[0:])
	if binary.LittleEndian.Uint32(data[4:]) != crc32.Checksum(data[0:4], castagnoli) || length > maxFramePayloadBytes {
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
