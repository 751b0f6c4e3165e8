package backendserver

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	// maxColdStartFactor multiplies the work of a call at the beginning of the cold start. The factor falls to 1 by the
	// end of the cold start.
	maxColdStartFactor = 5.0
	// maxWorkFactor bounds the random factor by which the mean work of a call is multiplied.
	maxWorkFactor = 10.0
)

// ReadResponse is the body of the response to a read-only call.
type ReadResponse struct {
	Path     string `json:"path"`
	Instance string `json:"instance"`
	Version  string `json:"version"`
}

// WriteResponse is the body of the response to a call that is not read-only. It echoes the request.
type WriteResponse struct {
	Key string `json:"key"`
	// BodyDigest is the SHA-256 of the request body in hexadecimal.
	BodyDigest string `json:"body_digest"`
	Instance   string `json:"instance"`
	Version    string `json:"version"`
}

// ErrorResponse is the body of the response to a failed request.
type ErrorResponse struct {
	Error    string `json:"error"`
	Instance string `json:"instance"`
	Version  string `json:"version"`
}

// serveCall executes one call in a slot, or refuses it.
func (s *Server) serveCall(c echo.Context) error {
	s.setReportHeaders(c.Response().Header())
	call, err := readCall(c.Request())
	if err != nil {
		return s.refuse(c, http.StatusBadRequest, err.Error())
	}
	if call.expired(time.Now()) {
		return s.refuse(c, http.StatusGatewayTimeout, "the deadline has passed")
	}
	ctx := c.Request().Context()
	if !call.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.deadline)
		defer cancel()
	}
	err = s.slots.acquire(ctx)
	if errors.Is(err, errShed) {
		return s.refuse(c, http.StatusServiceUnavailable, err.Error())
	}
	if err != nil {
		return s.refuse(c, http.StatusGatewayTimeout, "the deadline passed in the queue")
	}
	defer s.slots.release()
	return s.execute(ctx, c, call)
}

func (s *Server) setReportHeaders(header http.Header) {
	report := s.report()
	header.Set(HeaderLoad, strconv.Itoa(report.InFlight)+"/"+strconv.Itoa(report.Slots))
	header.Set(HeaderInstance, s.cfg.Instance)
	header.Set(HeaderVersion, s.cfg.Version)
}

// refuse responds to a call that was not executed, and sets HeaderShed.
func (s *Server) refuse(c echo.Context, status int, reason string) error {
	c.Response().Header().Set(HeaderShed, "1")
	return s.fail(c, status, reason)
}

func (s *Server) fail(c echo.Context, status int, reason string) error {
	return c.JSON(status, ErrorResponse{Error: reason, Instance: s.cfg.Instance, Version: s.cfg.Version})
}

// execute runs a call that holds a slot and records the execution.
func (s *Server) execute(ctx context.Context, c echo.Context, call *call) error {
	id, err := s.journal.start(call, s.cfg.Version, time.Now())
	if err != nil {
		return s.fail(c, http.StatusInternalServerError, err.Error())
	}
	effect := s.effectOn(call)
	if effect.crash {
		s.log.Error().Str("path", call.path).Str("key", call.key).Msg("crashing because the call matches a crash fault or the crash marker")
		s.exit(ExitCrashed)
	}
	finished := sleepContext(ctx, s.workTime()+effect.delay)
	result := resultOf(finished, effect)
	if err := s.journal.end(id, result, time.Now()); err != nil {
		return s.fail(c, http.StatusInternalServerError, err.Error())
	}
	switch result {
	case ResultCancelled:
		return s.fail(c, http.StatusGatewayTimeout, "the call was cancelled or its deadline passed while it ran")
	case ResultError:
		return s.fail(c, effect.status, "a fault is switched on")
	}
	return s.respond(c, call)
}

func resultOf(finished bool, effect effect) Result {
	if !finished {
		return ResultCancelled
	}
	if effect.status != 0 {
		return ResultError
	}
	return ResultOK
}

func (s *Server) respond(c echo.Context, call *call) error {
	if call.readOnly() {
		return c.JSON(http.StatusOK, ReadResponse{Path: call.path, Instance: s.cfg.Instance, Version: s.cfg.Version})
	}
	return c.JSON(http.StatusOK, WriteResponse{
		Key:        call.key,
		BodyDigest: call.bodyDigest(),
		Instance:   s.cfg.Instance,
		Version:    s.cfg.Version,
	})
}

// effectOn returns the combined effect of the faults and the crash marker on a call.
func (s *Server) effectOn(call *call) effect {
	load := float64(s.slots.inFlight()) / float64(s.cfg.Slots)
	total := s.faults.Load().effectOn(call, time.Now(), load, s.draw)
	if marker := s.cfg.CrashMarker; marker != "" {
		total.crash = total.crash || strings.Contains(call.path, marker) || strings.Contains(string(call.body), marker)
	}
	return total
}

func (s *Server) draw() float64 {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.rand.Float64()
}

// workTime draws the work time of a call from an exponential distribution. It is longer during a cold start.
func (s *Server) workTime() time.Duration {
	s.randMu.Lock()
	factor := min(s.rand.ExpFloat64(), maxWorkFactor)
	s.randMu.Unlock()
	return time.Duration(float64(s.cfg.Work) * factor * coldStartFactor(time.Since(s.started), s.cfg.ColdStart))
}

// coldStartFactor falls linearly from maxColdStartFactor at age 0 to 1 at the end of the cold start.
func coldStartFactor(age, coldStart time.Duration) float64 {
	if age >= coldStart {
		return 1
	}
	remaining := float64(coldStart-age) / float64(coldStart)
	return 1 + (maxColdStartFactor-1)*remaining
}

// sleepContext waits for the duration. It returns false if the context ends first.
func sleepContext(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
