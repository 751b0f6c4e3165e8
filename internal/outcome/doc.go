// Package outcome aggregates the outcomes of calls that nodes report to the control group.
package outcome
