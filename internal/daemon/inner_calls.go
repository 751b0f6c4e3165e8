package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"samphireflow/internal/admission"
)

// newInnerCalls returns the controller that admits calls by the room of the services that their runs call, nil if request IDs do
// not tell which run makes a call: then there is nothing to learn, and every call is admitted.
func newInnerCalls(idSeparator string, registry prometheus.Registerer, logger zerolog.Logger) *admission.Controller {
	if idSeparator == "" {
		return nil
	}
	return admission.NewController(admission.Options{
		IDSeparator: idSeparator, Metrics: admission.NewMetrics(registry),
		LimitChanged: func(service string, limited bool, pressure, committed float64) {
			logger.Info().Str("service", service).Bool("limited", limited).Float64("pressure", pressure).
				Float64("expected_inner_calls", committed).Msg("calls are admitted by the room of a service that their runs call")
		},
	})
}
