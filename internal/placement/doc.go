// Package placement chooses the backend server of a call from what a node has heard of each of them. It is pure code.
package placement
