package admission

// Answer is what the node learns about a service from the end of an inner call to it.
type Answer struct {
	// Pressure is the pressure that the gate reported, in shares of its slots, 0 if none answered.
	Pressure float64
	// NoRoom is set if no gate of the service had room for the call.
	NoRoom bool
	// Served is set if a backend server has answered.
	Served bool
}
