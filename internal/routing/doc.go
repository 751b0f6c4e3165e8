// Package routing holds the table that a node routes calls by: one immutable table for each configuration version
// and set of backend servers, built once and shared by all calls.
package routing
