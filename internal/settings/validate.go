package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// ErrInvalid is wrapped by errors about invalid values of settings.
var ErrInvalid = errors.New("invalid settings")

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

var settingsValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("flag") })
	must(v.RegisterValidation("name", func(field validator.FieldLevel) bool {
		return namePattern.MatchString(field.Field().String())
	}))
	must(v.RegisterValidation("ipport", func(field validator.FieldLevel) bool {
		addr, err := netip.ParseAddrPort(field.Field().String())
		return err == nil && addr.Port() != 0
	}))
	return v
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// validate checks all settings. Its error lists the given faults and all others.
func (s *Settings) validate(faults []string) error {
	err := settingsValidator.Struct(s)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		for _, fault := range invalid {
			faults = append(faults, describeFault(fault))
		}
	} else if err != nil {
		faults = append(faults, err.Error())
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.Wrap(ErrInvalid, strings.Join(faults, "; "))
}

func describeFault(fault validator.FieldError) string {
	name := strings.TrimPrefix(fault.Namespace(), "Settings.")
	switch fault.Tag() {
	case "required", "required_unless", "required_without", "min":
		return fmt.Sprintf("--%s is required", name)
	case "oneof":
		return fmt.Sprintf("--%s: %q is not one of %s", name, fault.Value(), strings.ReplaceAll(fault.Param(), " ", ", "))
	case "ipport":
		return fmt.Sprintf("--%s: %q is not IP:port", name, fault.Value())
	case "name":
		return fmt.Sprintf("--%s: %q is not a name of lower-case letters, digits, dots and dashes", name, fault.Value())
	}
	return fmt.Sprintf("--%s: %v is out of range", name, fault.Value())
}
