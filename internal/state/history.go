package state

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

const (
	// maxHistoryEntries limits the history, and with it how many versions back diff and revert can reach.
	maxHistoryEntries = 5000
	// maxHistoryBytes limits the encoded entries of the history. It holds maxHistoryEntries changes of one branch. Every
	// snapshot of the state contains the history, so it must stay small beside the memory of a control instance.
	maxHistoryBytes = 4 << 20
)

// history is the list of the accepted changes, oldest first. It is immutable: with returns a new one. Its entries stay
// encoded, because a decoded entry takes several times as much memory and is rarely read.
//
// Invariant: it is the longest list of the newest entries that keeps to maxHistoryEntries and maxHistoryBytes, or the newest
// entry alone. So all instances keep the same entries, whether they applied the changes or restored a snapshot.
type history struct {
	entries []historyEntry
	// bytes is the total length of the encoded entries.
	bytes int
}

// historyEntry is an encoded HistoryEntry and its version.
type historyEntry struct {
	version uint64
	encoded []byte
}

// newHistory returns the history with the given encoded entries, without the oldest ones beyond the limits.
func newHistory(encoded [][]byte) (history, error) {
	var h history
	for _, data := range encoded {
		entry := &apiv1.HistoryEntry{}
		if err := proto.Unmarshal(data, entry); err != nil {
			return history{}, errors.Wrap(err, "decode an entry of the history")
		}
		h.entries = append(h.entries, historyEntry{entry.Version, data})
		h.bytes += len(data)
	}
	return h.trimmed(), nil
}

// with returns the history with one more entry, without the oldest ones beyond the limits.
func (h history) with(entry *apiv1.HistoryEntry) history {
	// Encoding cannot fail, because the message was decoded from a command or built here.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(entry)
	h.entries = append(h.entries, historyEntry{entry.Version, data})
	h.bytes += len(data)
	return h.trimmed()
}

func (h history) trimmed() history {
	excess := 0
	for excess < len(h.entries)-1 && (len(h.entries)-excess > maxHistoryEntries || h.bytes > maxHistoryBytes) {
		h.bytes -= len(h.entries[excess].encoded)
		excess++
	}
	if excess > 0 {
		// A copy, so that the evicted entries are not kept in memory.
		h.entries = append([]historyEntry(nil), h.entries[excess:]...)
	}
	return h
}

// encodedEntries lists the encoded entries, oldest first.
func (h history) encodedEntries() [][]byte {
	list := make([][]byte, 0, len(h.entries))
	for _, entry := range h.entries {
		list = append(list, entry.encoded)
	}
	return list
}

// decode returns the entry as a message.
func (e historyEntry) decode() *apiv1.HistoryEntry {
	entry := &apiv1.HistoryEntry{}
	// Decoding cannot fail, because the entry was encoded here or decoded before.
	_ = proto.Unmarshal(e.encoded, entry)
	return entry
}
