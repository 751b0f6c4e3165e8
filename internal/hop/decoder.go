package hop

import (
	"net/http"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http2/hpack"
)

const (
	// dynamicTableSize bounds the header fields that each side of a connection keeps from earlier messages. It is the
	// default of RFC 7541.
	dynamicTableSize = 4 << 10
	// maxDecodedBytes bounds the decoded fields of one message, because a single byte can stand for a whole field. It is
	// the limit of a node for an uncompressed header.
	maxDecodedBytes = 256 << 10
	// maxDecodedFields bounds their number, since a field of a letter without a value takes much more memory than its text. A
	// header of 64 KiB has as many at most.
	maxDecodedFields = 16 << 10
)

var errTooLong = errors.New("the header fields of the message are too long")

// Decoder decodes the results of the Encoder on the other side of the connection.
type Decoder struct {
	hpack *hpack.Decoder
	// fields holds what has been decoded of the current message, size is the number of its bytes and count that of its fields.
	fields Fields
	size   int
	count  int
}

// NewDecoder returns the decoder for a new connection.
func NewDecoder() *Decoder {
	d := &Decoder{}
	d.hpack = hpack.NewDecoder(dynamicTableSize, d.addField)
	d.hpack.SetMaxStringLength(maxDecodedBytes)
	return d
}

// Decode decodes the header field HeaderName of the next message. After an error the connection must be closed.
func (d *Decoder) Decode(text string) (Fields, error) {
	d.fields, d.size, d.count = Fields{Header: http.Header{}}, 0, 0
	raw, err := unescape(text)
	if err != nil {
		return Fields{}, err
	}
	if _, err := d.hpack.Write(raw); err != nil {
		return Fields{}, errors.Wrap(err, "unpack header fields")
	}
	if err := d.hpack.Close(); err != nil {
		return Fields{}, errors.Wrap(err, "unpack header fields")
	}
	if d.tooLong() {
		return Fields{}, errTooLong
	}
	return d.fields, nil
}

func (d *Decoder) tooLong() bool { return d.size > maxDecodedBytes || d.count > maxDecodedFields }

func (d *Decoder) addField(field hpack.HeaderField) {
	d.size += len(field.Name) + len(field.Value)
	d.count++
	if d.tooLong() {
		return
	}
	switch field.Name {
	case targetField:
		d.fields.Target = field.Value
	case hostField:
		d.fields.Host = field.Value
	default:
		name := textproto.CanonicalMIMEHeaderKey(field.Name)
		d.fields.Header[name] = append(d.fields.Header[name], field.Value)
	}
}
