// Package wal stores the Raft log, hard state, snapshots and identity of a control instance in one data folder.
//
// The folder holds a lock file, an identity file, log segments "log-<sequence>" and snapshots
// "snapshot-<index>-<term>". Every file except the lock file consists of frames. A frame is a header of three
// little-endian 32-bit numbers (the payload's length, a CRC32C of the length and a CRC32C of the payload), followed by
// the payload, which is a protobuf message.
//
// An incomplete frame at the end of the last segment is a torn write, and Open truncates the segment before it. Any
// other damage is reported as a CorruptError. After a failed write or sync the log stops permanently: the state of the
// disk is then unknown, and a repeated sync may report success for data that the system has already discarded.
package wal
