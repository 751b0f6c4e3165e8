package cli

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// queryEach calls every control instance separately and prints a table with a row for each, or the responses as JSON. It
// fails only if none responds.
func queryEach[T proto.Message](ctx context.Context, s *session, commandName string, header []string, try attempt[T], row func(address string, response T, err error) []string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	var rows [][]string
	responses := 0
	for _, to := range c.endpoints {
		response, err := tryOnce(ctx, c, to, try)
		if err == nil {
			responses++
		}
		if err == nil && s.options.Output == outputJSON {
			err = s.printer().json(response, false)
		}
		rows = append(rows, row(to.address, response, err))
	}
	if responses == 0 {
		return errors.Wrap(errUnreachable, commandName)
	}
	if s.options.Output == outputJSON {
		return nil
	}
	return s.printer().table(header, rows)
}
