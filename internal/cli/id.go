package cli

import "crypto/rand"

// newID returns a random ID for an edit or a request about a move. Retries use the same ID.
func newID() string {
	return rand.Text()
}
