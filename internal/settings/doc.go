// Package settings parses the settings of the daemon from flags and environment variables, and validates them.
package settings
