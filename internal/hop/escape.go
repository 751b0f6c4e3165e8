package hop

import (
	"strings"

	"github.com/pkg/errors"
)

const (
	// escapeMark precedes an escaped byte.
	escapeMark = '~'
	// escapeMask is the bit that is flipped in an escaped byte. Control characters and the space become '@' to '`', DEL
	// becomes '?', and the mark becomes '>'.
	escapeMask = 0x40
)

var errBadEscape = errors.New("the packed header fields are not escaped as they should be")

// mustEscape reports whether a byte is not allowed in the value of a header field (RFC 9110, section 5.5) or at its ends.
func mustEscape(b byte) bool {
	return b <= ' ' || b == 0x7f || b == escapeMark
}

// escape encodes bytes as the value of a header field. About one byte in eight is escaped and takes two.
func escape(raw []byte) string {
	var text strings.Builder
	text.Grow(len(raw) + len(raw)/4)
	for _, b := range raw {
		if mustEscape(b) {
			text.WriteByte(escapeMark)
			b ^= escapeMask
		}
		text.WriteByte(b)
	}
	return text.String()
}

// unescape reverses escape.
func unescape(text string) ([]byte, error) {
	raw := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		b := text[i]
		if b == escapeMark {
			if i++; i == len(text) || !mustEscape(text[i]^escapeMask) {
				return nil, errBadEscape
			}
			b = text[i] ^ escapeMask
		}
		raw = append(raw, b)
	}
	return raw, nil
}
