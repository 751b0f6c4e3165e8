package main

import (
	"strings"

	"github.com/rs/zerolog"
)

// standardLog forwards to the logger what libraries such as net/http write to the standard log.
type standardLog struct {
	logger zerolog.Logger
}

// Write logs one entry as a warning.
func (s standardLog) Write(entry []byte) (int, error) {
	s.logger.Warn().Str("cause", strings.TrimSpace(string(entry))).Msg("a library logged a message")
	return len(entry), nil
}
