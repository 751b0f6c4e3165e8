package cli

import (
	"context"
	"net"
	"strings"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

var (
	// errUnreachable says that no request took effect, as none was sent or all were reads.
	errUnreachable = errors.New("no instance answers; nothing was changed")
	// errAnswerLost says that a request was sent and not answered.
	errAnswerLost = errors.New("the answer was lost; it is not known whether the request took effect")
	// errRefused says that an instance answered with an error that another attempt would get too.
	errRefused = errors.New("refused")
)

// failures collects the failed attempts of one call.
type failures struct {
	lostAnswer bool
	// byInstance keeps the last failure of each instance in the order of first attempts.
	order      []string
	byInstance map[string]string
}

// add notes a failed attempt. It returns an error when further attempts are useless.
func (f *failures) add(address string, err error) error {
	if refusal := refusalOf(err); refusal != nil {
		return errors.Wrapf(errRefused, "%s at %s", refusal.Msg(), address)
	}
	if !notSent(err) {
		f.lostAnswer = true
	}
	if f.byInstance == nil {
		f.byInstance = map[string]string{}
	}
	_, known := f.byInstance[address]
	if known && errors.Is(err, context.DeadlineExceeded) {
		// The end of the tool's own time tells less than the instance's earlier answer.
		return nil
	}
	if !known {
		f.order = append(f.order, address)
	}
	f.byInstance[address] = err.Error()
	return nil
}

func (f *failures) error() error {
	var list []string
	for _, address := range f.order {
		list = append(list, address+": "+f.byInstance[address])
	}
	detail := strings.Join(list, "; ")
	if f.lostAnswer {
		return errors.Wrap(errAnswerLost, detail)
	}
	return errors.Wrap(errUnreachable, detail)
}

// refusalOf returns the answer of an instance for which a resend is useless, nil for any other error.
func refusalOf(err error) twirp.Error {
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return nil
	}
	switch answer.Code() {
	case twirp.InvalidArgument, twirp.NotFound, twirp.AlreadyExists, twirp.PermissionDenied, twirp.OutOfRange,
		twirp.Unimplemented, twirp.BadRoute, twirp.Malformed, twirp.FailedPrecondition:
		return answer
	}
	return nil
}

// notSent reports whether an attempt failed before the request was sent, or was refused without any effect.
func notSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Op == "dial"
	}
	return false
}
