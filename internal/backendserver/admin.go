package backendserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// adminRoutes returns the handler of GET /health, /load, /executions and /faults, and of POST /faults and /drain.
func (s *Server) adminRoutes() http.Handler {
	router := echo.New()
	router.GET("/health", s.getHealth)
	router.GET("/load", s.getLoad)
	router.GET("/executions", s.getExecutions)
	router.GET("/faults", s.getFaults)
	router.POST("/faults", s.postFaults)
	router.POST("/drain", s.postDrain)
	return router
}

func (s *Server) getHealth(c echo.Context) error {
	sleepContext(c.Request().Context(), s.cfg.ProbeCost)
	report := s.report()
	if !report.Healthy {
		return c.JSON(http.StatusServiceUnavailable, report)
	}
	return c.JSON(http.StatusOK, report)
}

func (s *Server) getLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, s.report())
}

func (s *Server) getExecutions(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "application/x-ndjson")
	c.Response().WriteHeader(http.StatusOK)
	return s.journal.writeTo(c.Response())
}

func (s *Server) getFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, s.faults.Load().set)
}

// postFaults replaces the faults. An unknown field or an invalid value is rejected and changes nothing.
func (s *Server) postFaults(c echo.Context) error {
	var set FaultSet
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&set); err != nil {
		return s.fail(c, http.StatusBadRequest, err.Error())
	}
	if err := newValidator().Struct(set); err != nil {
		return s.fail(c, http.StatusBadRequest, err.Error())
	}
	s.faults.Store(&activeFaults{set: set, since: time.Now()})
	s.log.Info().Interface("faults", set).Msg("faults set")
	return c.JSON(http.StatusOK, set)
}

func (s *Server) postDrain(c echo.Context) error {
	s.Drain()
	return c.JSON(http.StatusOK, s.actualReport())
}
