// Package admin serves the admin address of a process: metrics, liveness, readiness, the applied version and the
// log level.
package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Version is the applied configuration version of a process.
type Version struct {
	Version uint64 `json:"version"`
	Term    uint64 `json:"term"`
	Digest  string `json:"digest"`
}

// Source provides the state of the process.
type Source interface {
	// Ready reports whether the process can serve.
	Ready() bool
	// Version returns the applied configuration version.
	Version() Version
}

// Cutter simulates network partitions for fault injection.
type Cutter interface {
	// Cut replaces the set of addresses that the process cannot reach.
	Cut(addresses []string)
}

// Handler returns the handler of the admin address. The cutter is nil when fault injection is disabled.
func Handler(source Source, registry *prometheus.Registry, cutter Cutter) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", func(c echo.Context) error { return ready(c, source) })
	e.GET("/version", func(c echo.Context) error { return c.JSON(http.StatusOK, source.Version()) })
	e.GET("/metrics", echo.WrapHandler(newMetricsHandler(registry)))
	e.GET("/loglevel", func(c echo.Context) error { return c.JSON(http.StatusOK, logLevel{zerolog.GlobalLevel().String()}) })
	e.PUT("/loglevel", setLogLevel)
	if cutter != nil {
		e.PUT("/cuts", func(c echo.Context) error { return setCuts(c, cutter) })
	}
	return e
}

// cuts is the body of a PUT /cuts request and of its response.
type cuts struct {
	Addresses []string `json:"addresses"`
}

func setCuts(c echo.Context, cutter Cutter) error {
	var request cuts
	if err := c.Bind(&request); err != nil {
		return err
	}
	cutter.Cut(request.Addresses)
	return c.JSON(http.StatusOK, request)
}

func ready(c echo.Context, source Source) error {
	if !source.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// logLevel is the body of the requests and responses of /loglevel.
type logLevel struct {
	Level string `json:"level"`
}

func setLogLevel(c echo.Context) error {
	var request logLevel
	if err := c.Bind(&request); err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(request.Level)
	if err != nil || request.Level == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "level must be debug, info, warn or error")
	}
	zerolog.SetGlobalLevel(level)
	return c.JSON(http.StatusOK, request)
}
