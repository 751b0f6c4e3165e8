package suspect

import (
	"context"
	"sync"
)

// Request is a request that is sent to backend servers of a service.
type Request struct {
	Service  string
	Identity Identity
	// Body is the whole body, unless Long is set.
	Body []byte
	// Long is a body that is too long to be held.
	Long *LongBody

	// hashed is the fingerprint of a request without a long body.
	hashed Fingerprint
	once   sync.Once
}

// fingerprint returns the fingerprint. It reports false if the end of a long body has not been read.
func (r *Request) fingerprint() (Fingerprint, bool) {
	if r.Long != nil {
		return r.Long.fingerprint()
	}
	r.once.Do(func() { r.hashed = r.Identity.Fingerprint(r.Body) })
	return r.hashed, true
}

// wholeFingerprint is fingerprint after the rest of a long body has been read. It reports false if the context ends before.
func (r *Request) wholeFingerprint(ctx context.Context) (Fingerprint, bool) {
	if r.Long != nil {
		return r.Long.wholeFingerprint(ctx)
	}
	return r.fingerprint()
}

// longKey returns what is known of a request with a long body before its body has been read, the zero value for others.
func (r *Request) longKey() longKey {
	if r.Long == nil {
		return longKey{}
	}
	return longKey{head: r.Identity.Fingerprint(nil), bytes: r.Long.size()}
}

// longKey identifies requests whose bodies are too long to be held by all but the content of the body.
type longKey struct {
	// head is the fingerprint without a body.
	head Fingerprint
	// bytes is the length of the body, 0 if it is not long and -1 if that is not known yet.
	bytes int64
}
