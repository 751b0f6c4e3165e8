package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	columnPadding = 2
	jsonIndent    = "  "
)

// printer writes responses as tables or as JSON, depending on the format.
type printer struct {
	out    io.Writer
	format string
}

// message writes a message as JSON, or calls the given function, which writes it as a table.
func (p *printer) message(message proto.Message, table func() error) error {
	if p.format == outputJSON {
		return p.json(message, true)
	}
	return table()
}

// json writes a message as JSON with the field names of the API, indented or in one line.
func (p *printer) json(message proto.Message, indent bool) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "write the output")
	}
	var text bytes.Buffer
	if indent {
		err = json.Indent(&text, data, "", jsonIndent)
	} else {
		err = json.Compact(&text, data)
	}
	if err != nil {
		return errors.Wrap(err, "write the output")
	}
	_, err = fmt.Fprintln(p.out, text.String())
	return errors.Wrap(err, "write the output")
}

// table writes rows under a header in aligned columns.
func (p *printer) table(header []string, rows [][]string) error {
	writer := tabwriter.NewWriter(p.out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Wrap(writer.Flush(), "write the output")
}

// line writes one line of text.
func (p *printer) line(format string, args ...any) error {
	_, err := fmt.Fprintf(p.out, format+"\n", args...)
	return errors.Wrap(err, "write the output")
}
