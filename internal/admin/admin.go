// Package admin serves the admin address of a process: metrics, liveness, readiness, the applied version and the
// log level.
package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
)

// Version is the applied configuration version of a process.
type Version struct {
	Version uint64 `json:"version"`
	Term    uint64 `json:"term"`
	Digest  string `json:"digest"`
}

// Source tells the state of the process.
type Source interface {
	// Ready reports whether the process can serve.
	Ready() bool
	// Version returns the applied configuration version.
	Version() Version
}

// Cutter cuts the process off from addresses.
type Cutter interface {
	// Cut replaces the set of addresses that the process is cut off from.
	Cut(addresses []string)
}

// Handler returns the handler of the admin address. The cutter is nil without fault injection.
func Handler(source Source, registry *prometheus.Registry, cutter Cutter) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", func(c echo.Context) error { return ready(c, source) })
	e.GET("/version", func(c echo.Context) error { return c.JSON(http.StatusOK, source.Version()) })
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	e.GET("/loglevel", func(c echo.Context) error { return c.JSON(http.StatusOK, logLevel{zerolog.GlobalLevel().String()}) })
	e.PUT("/loglevel", setLogLevel)
	if cutter != nil {
		e.PUT("/cuts", func(c echo.Context) error { return setCuts(c, cutter) })
	}
	return e
}

// cuts is the body of PUT /cuts.
type cuts struct {
	Addresses []string `json:"addresses"`
}

func setCuts(c echo.Context, cutter Cutter) error {
	var wanted cuts
	if err := c.Bind(&wanted); err != nil {
		return err
	}
	cutter.Cut(wanted.Addresses)
	return c.JSON(http.StatusOK, wanted)
}

func ready(c echo.Context, source Source) error {
	if !source.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// logLevel is the body of the log level requests.
type logLevel struct {
	Level string `json:"level"`
}

func setLogLevel(c echo.Context) error {
	var wanted logLevel
	if err := c.Bind(&wanted); err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(wanted.Level)
	if err != nil || wanted.Level == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "level must be debug, info, warn or error")
	}
	zerolog.SetGlobalLevel(level)
	return c.JSON(http.StatusOK, wanted)
}
