// Package customer identifies customers by their keys. Nodes know the digests of the keys, not the keys themselves: the key
// of a call is checked by the first node and goes to no other process.
package customer
