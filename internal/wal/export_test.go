package wal

// AppendFrame lets tests write records that Log never writes.
var AppendFrame = appendFrame
