// Package traffic measures what the system adds to a call and what it does under overload and deaths. The caller's own
// direct call to the backend server is the baseline in the same run.
package traffic
