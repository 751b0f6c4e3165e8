// Package gate controls admission to the backend server on the node's own machine. Every call to that backend server
// passes its gate, so the gate knows exactly how many calls are in flight: it limits them to the number of slots, decides
// which call waits and which is refused, and refuses all calls while the backend server drains.
package gate
