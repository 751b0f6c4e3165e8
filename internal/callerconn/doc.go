// Package callerconn serves callers' connections. Unlike net/http's server it reads ahead: requests that a caller sends
// behind one that is still being answered are worked on at once, their answers are returned in the order of the requests,
// and a caller that leaves is noticed whatever waits on its connection.
package callerconn
