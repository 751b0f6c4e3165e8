package hop

import (
	"strings"

	"github.com/pkg/errors"
)

const (
	// escapeMark comes before a byte that must not stand in the value of a header field.
	escapeMark = '~'
	// escapeShift turns such a byte into one that may: controls and the space into '@' and what follows it, DEL into '?', the mark into '>'.
	escapeShift = 0x40
)

var errBadEscape = errors.New("the packed header fields are not escaped as they should be")

// escaped reports whether a byte must not stand in the value of a header field (RFC 9110, section 5.5), or at its ends.
func escaped(b byte) bool {
	return b <= ' ' || b == 0x7f || b == escapeMark
}

// escape makes the value of a header field from bytes; one in eight gets longer by one.
func escape(raw []byte) string {
	var text strings.Builder
	text.Grow(len(raw) + len(raw)/4)
	for _, b := range raw {
		if escaped(b) {
			text.WriteByte(escapeMark)
			b ^= escapeShift
		}
		text.WriteByte(b)
	}
	return text.String()
}

// unescape reads what escape has written.
func unescape(text string) ([]byte, error) {
	raw := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		b := text[i]
		if b == escapeMark {
			if i++; i == len(text) || !escaped(text[i]^escapeShift) {
				return nil, errBadEscape
			}
			b = text[i] ^ escapeShift
		}
		raw = append(raw, b)
	}
	return raw, nil
}
