// Package claim makes a request with an idempotency key run at most once.
//
// Each failure domain has a small set of claim holders, which the control group assigns (see package assign). Before a
// node runs a request with a key, it claims the key at the holders of the key's home failure domain, and it runs the
// request only if a majority of them grants the claim. Any two majorities share a holder, so of two attempts at one key
// only one can win, whichever nodes they were sent to.
//
// Holders keep claims in memory only. A holder that has lost its claims in a restart abstains from votes until it has
// read the claims of enough other holders that no claim which it helped to grant can be missing, or until every claim
// from before the restart has expired.
package claim
