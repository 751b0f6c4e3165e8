// Package settings reads and checks the settings of the daemon from flags and environment variables.
package settings
