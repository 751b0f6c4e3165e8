// Package calls defines what the packages that forward callers' calls share: the call, its result and the header fields.
package calls
