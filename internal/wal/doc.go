// Package wal keeps a control instance's log, hard state, snapshots and identity in one data folder.
//
// The folder holds a lock file, an identity file, log segments "log-<sequence>" and snapshots
// "snapshot-<index>-<term>". All but the lock file consist of frames: the payload's length, a CRC32C of the length
// and a CRC32C of the payload, four bytes each in little-endian order, and the payload, which is a protobuf message.
//
// An unfinished frame at the end of the last segment is a torn write and is cut off. Any other damage is refused
// with a CorruptError. After a failed write or sync the log is stopped for good: what the disk then holds is not
// known, and a repeated sync may report success for data that it has dropped.
package wal
