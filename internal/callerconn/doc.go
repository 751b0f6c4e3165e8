// Package callerconn accepts callers' connections that are read ahead of their use, so that a caller that leaves is
// noticed also while its further requests wait behind one that is being answered.
package callerconn
