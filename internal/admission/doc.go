// Package admission decides which calls a gate admits by the room of the services that their runs will call. It reads no
// clock and does no input or output; the current time is passed in.
package admission
