// Package proxy carries the calls of callers to backend servers.
package proxy
