// Package exchange makes HTTP/1.1 exchanges whose fate is known as exactly as it can be: a request of which no byte was
// handed to the network has certainly not run, and an answer is one only if it is whole and bears the request's ID.
//
// net/http's Transport is not used for these hops: it repeats requests by their method, where what may be repeated here
// depends on the route, and it does not tell an answer that belongs to an earlier request on the same connection.
package exchange
