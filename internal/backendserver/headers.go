package backendserver

// Headers of calls and answers.
const (
	// HeaderKey names a request; a resend carries the same key.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is the time by which the caller needs the answer, in Unix milliseconds.
	HeaderDeadline = "Samphireflow-Deadline"
	// HeaderShed is set to "1" on an answer to a call that was refused before it ran.
	HeaderShed = "Samphireflow-Shed"
	// HeaderLoad is the reported load as "<in flight>/<slots>".
	HeaderLoad = "Samphireflow-Load"
	// HeaderInstance is the instance that answered.
	HeaderInstance = "Samphireflow-Instance"
	// HeaderVersion is the version of the backend server that answered.
	HeaderVersion = "Samphireflow-Version"
)
