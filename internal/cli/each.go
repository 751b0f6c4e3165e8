package cli

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// askEach asks every control instance by itself and prints a row for each, or the answers as JSON. It fails only when
// none answers.
func askEach[T proto.Message](ctx context.Context, s *session, what string, header []string, try attempt[T], row func(address string, answer T, err error) []string) error {
	g, err := s.group()
	if err != nil {
		return err
	}
	var rows [][]string
	answered := 0
	for _, to := range g.endpoints {
		answer, err := tryOnce(ctx, g, to, try)
		if err == nil {
			answered++
		}
		if err == nil && s.options.Output == outputJSON {
			err = s.printer().json(answer, false)
		}
		rows = append(rows, row(to.address, answer, err))
	}
	if answered == 0 {
		return errors.Wrap(errUnreachable, what)
	}
	if s.options.Output == outputJSON {
		return nil
	}
	return s.printer().table(header, rows)
}
