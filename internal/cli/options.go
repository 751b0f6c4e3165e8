package cli

import (
	"flag"
	"os/user"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

const (
	envPrefix      = "SAMPHIREFLOW"
	defaultTimeout = 5 * time.Second

	outputTable = "table"
	outputJSON  = "json"
)

// options holds the global flags, which every command accepts.
type options struct {
	Control  string
	Output   string        `validate:"oneof=table json"`
	Timeout  time.Duration `validate:"gt=0"`
	Operator string        `validate:"required"`
}

func defaultOptions() *options {
	return &options{Output: outputTable, Timeout: defaultTimeout, Operator: currentUser()}
}

func currentUser() string {
	if current, err := user.Current(); err == nil && current.Username != "" {
		return current.Username
	}
	return "operator"
}

// register defines the flags with the current values as defaults. A second registration for a command thus keeps the
// values that were parsed before.
func (o *options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.Control, "control", o.Control, "addresses of the control instances, IP:port, separated by commas")
	flags.StringVar(&o.Output, "output", o.Output, "table or json")
	flags.DurationVar(&o.Timeout, "timeout", o.Timeout, "longest time for the answer, resends included")
	flags.StringVar(&o.Operator, "operator", o.Operator, "name that the history shows for edits and moves")
}

// parse reads the environment and the flags that precede the name of the command.
func (o *options) parse(flags *flag.FlagSet, args []string) error {
	o.register(flags)
	return ff.Parse(flags, args, ff.WithEnvVarPrefix(envPrefix))
}

func (o *options) validate() error {
	if err := validator.New().Struct(o); err != nil {
		return errors.Wrap(err, "invalid flags")
	}
	return nil
}

// addresses returns the addresses of the control instances. It fails if there is none or one is invalid.
func (o *options) addresses() ([]string, error) {
	if o.Control == "" {
		return nil, errors.Errorf("no control instance is given: set --control or %s_CONTROL", envPrefix)
	}
	list := strings.Split(o.Control, ",")
	for i, address := range list {
		list[i] = strings.TrimSpace(address)
		if err := checkAddress(list[i]); err != nil {
			return nil, errors.Wrap(err, "--control")
		}
	}
	return list, nil
}

func checkAddress(address string) error {
	if err := validator.New().Var(address, "hostname_port"); err != nil {
		return errors.Errorf("%q is not an address such as 127.0.0.1:7000", address)
	}
	return nil
}
