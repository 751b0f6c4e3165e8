// Package suspect finds requests that crash backend servers. A request that was in flight when backend servers crashed is refused
// at the versions of the service that it crashed, for a limited time. A response that completes clears the crashes before it, not
// those that follow.
package suspect
