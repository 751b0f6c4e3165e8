package backendserver

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time span that JSON documents write as text, for example "250ms".
type Duration time.Duration

// UnmarshalText reads the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as 250ms", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText writes the text form.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
