package backendserver

// Headers of requests and responses.
const (
	// HeaderKey identifies a request; a retry carries the same key.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is the time by which the caller needs the response, in Unix milliseconds.
	HeaderDeadline = "Samphireflow-Deadline"
	// HeaderShed is set to "1" on the response to a call that was refused before it ran.
	HeaderShed = "Samphireflow-Shed"
	// HeaderLoad is the reported load as "<in flight>/<slots>".
	HeaderLoad = "Samphireflow-Load"
	// HeaderInstance is the name of the backend server that responded.
	HeaderInstance = "Samphireflow-Instance"
	// HeaderVersion is the version of the backend server that responded.
	HeaderVersion = "Samphireflow-Version"
)
