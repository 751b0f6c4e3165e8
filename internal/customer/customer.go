package customer

// Customer is an organisation whose callers authenticate with its keys. It is immutable.
type Customer struct {
	Name string
	// Priority takes the place of the priority of the route, 0 is the highest. It is set if HasPriority is.
	Priority    int
	HasPriority bool
	// Rate is the number of calls per second that the customer may send to all nodes together, and Burst the number of calls
	// beyond it that may arrive at once. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Limited reports whether the customer has a quota.
func (c *Customer) Limited() bool {
	return c != nil && c.Rate > 0
}
