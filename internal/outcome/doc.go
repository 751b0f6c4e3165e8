// Package outcome sums the outcomes of calls on their way from the nodes to the control group.
package outcome
