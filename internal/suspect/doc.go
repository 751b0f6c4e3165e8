// Package suspect finds requests that crash backend servers. A request that was in flight when two backend servers crashed
// is refused in the whole service for a limited time, unless it completes at some backend server, which clears it.
package suspect
