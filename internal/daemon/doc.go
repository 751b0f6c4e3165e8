// Package daemon assembles the roles of one process from its settings.
package daemon
