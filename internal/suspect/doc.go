// Package suspect finds requests that crash backend servers. A request that was in flight when two backend servers
// died is refused for a time in the whole service; one that completes anywhere is cleared.
package suspect
