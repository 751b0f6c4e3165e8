package hop

import (
	"net/http"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http2/hpack"
)

const (
	// tableBytes bounds what each side of a connection remembers of the fields before, as RFC 7541 has it by default.
	tableBytes = 4 << 10
	// maxUnpackedBytes bounds the fields of one message: one byte can stand for a whole field. It is what a node reads of
	// a plain header.
	maxUnpackedBytes = 256 << 10
)

var errTooLong = errors.New("the header fields of the message are too long")

// Decoder unpacks what a Packer on the other side of the connection has packed.
type Decoder struct {
	decoder *hpack.Decoder
	// fields is the message that is being unpacked, size the bytes of its fields so far.
	fields Fields
	size   int
}

// NewDecoder returns the unpacker of a new connection.
func NewDecoder() *Decoder {
	u := &Decoder{}
	u.decoder = hpack.NewDecoder(tableBytes, u.take)
	u.decoder.SetMaxStringLength(maxUnpackedBytes)
	return u
}

// Decode reads the value of Field of the next message. After an error the connection is of no use any more.
func (u *Decoder) Decode(text string) (Fields, error) {
	u.fields, u.size = Fields{Header: http.Header{}}, 0
	raw, err := unescape(text)
	if err != nil {
		return Fields{}, err
	}
	if _, err := u.decoder.Write(raw); err != nil {
		return Fields{}, errors.Wrap(err, "unpack header fields")
	}
	if err := u.decoder.Close(); err != nil {
		return Fields{}, errors.Wrap(err, "unpack header fields")
	}
	if u.size > maxUnpackedBytes {
		return Fields{}, errTooLong
	}
	return u.fields, nil
}

func (u *Decoder) take(field hpack.HeaderField) {
	u.size += len(field.Name) + len(field.Value)
	if u.size > maxUnpackedBytes {
		return
	}
	switch field.Name {
	case targetField:
		u.fields.Target = field.Value
	case hostField:
		u.fields.Host = field.Value
	default:
		name := textproto.CanonicalMIMEHeaderKey(field.Name)
		u.fields.Header[name] = append(u.fields.Header[name], field.Value)
	}
}
