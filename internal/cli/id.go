package cli

import "crypto/rand"

// newID returns a random ID for an edit or move; a resend carries the same one.
func newID() string {
	return rand.Text()
}
