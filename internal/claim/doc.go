// Package claim makes a request with an idempotency key run at most once.
//
// Each failure domain has a small agreed set of claim holders (see package assign). A node that has a keyed request
// asks the holders of the key's home failure domain for the right to run it and runs it only with a majority of them.
// Majorities overlap, so of two attempts at one key only one can have the right, wherever they were sent to. Holders
// keep claims in memory. A holder that has lost its memory abstains until it has read the claims of enough other
// holders that no claim with its lost vote can be missing, or until all claims of that time have lapsed.
package claim
