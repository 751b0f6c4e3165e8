// Package quota keeps the calls of each customer, over all nodes together, within the customer's quota. Each node holds an
// equal part of every quota and lends it to the owner of the customer in its failure domain; the owner grants tokens, each of
// which allows one call. docs/design/quotas.md describes the protocol.
package quota
