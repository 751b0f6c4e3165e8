// Package calls holds what the parts that carry callers' calls share: the call, its fate and the header fields.
package calls
