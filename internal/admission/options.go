package admission

// Options configures a Controller.
type Options struct {
	// IDSeparator separates the request ID of a run from the rest of the IDs of the calls that the run makes. It is empty if
	// the request IDs of a deployment do not tell; then no call is an inner call.
	IDSeparator string
	// LimitChanged is called when a service becomes scarce, with the pressure and the expected inner calls of the runs in
	// flight, and when it is no longer. It must not call the Controller. Nil ignores the changes.
	LimitChanged func(service string, limited bool, pressure, committed float64)
	Metrics      *Metrics
}
