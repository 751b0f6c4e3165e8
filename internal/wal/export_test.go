package wal

// AppendFrame lets tests write records that the log would not.
var AppendFrame = appendFrame
