package backendserver

import (
	"fmt"
	"net/netip"
	"reflect"

	"github.com/go-playground/validator/v10"
)

// newValidator returns a validator that reports fields under the names of their flags and supports the rule ip_port.
func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("flag") })
	if err := validate.RegisterValidation("ip_port", isIPPort); err != nil {
		panic(err)
	}
	return validate
}

func isIPPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}

func quote(value any) string {
	return fmt.Sprintf("%q", fmt.Sprint(value))
}
