// Package balance chooses the backend server for a call. It decides by what one node knows: the node's own calls in
// flight, the load that backend servers report with their answers, and the outcomes of the node's calls. The current time
// and the random source are passed in.
package balance
