// Package resources keeps account of the descriptors and the memory that a process holds for the other sides of its
// connections. It decides which connections are accepted, which requests get memory and which connections are closed, so that
// no crowd of misbehaving clients ends the process or keeps ordinary clients out. All listeners of a process share one account.
package resources
