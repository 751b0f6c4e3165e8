package control

import (
	"sync"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
)

// unpackedDocument holds the content of the document that was read last, so that all responses to its readers share it while
// they wait for their clients.
type unpackedDocument struct {
	mu       sync.Mutex
	document *apiv1.Document
	content  []byte
}

// of returns the content of a document. It is not modified.
func (u *unpackedDocument) of(document *apiv1.Document) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.content != nil && u.document == document {
		return u.content, nil
	}
	content, err := packed.Unpack(document.GetPackedContent())
	if err != nil {
		return nil, err
	}
	u.document, u.content = document, content
	return content, nil
}
