package main

import (
	"strings"

	"github.com/rs/zerolog"
)

// standardLog makes JSON lines of what libraries write to the standard log, net/http among them.
type standardLog struct {
	logger zerolog.Logger
}

// Write logs one entry.
func (s standardLog) Write(entry []byte) (int, error) {
	s.logger.Warn().Str("cause", strings.TrimSpace(string(entry))).Msg("a library reports a fault")
	return len(entry), nil
}
