package deployment

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"samphireflow/internal/backendserver"
	"samphireflow/internal/proxy"
)

// callResult is the result of one request as its caller sees it.
type callResult struct {
	outcome proxy.Outcome
	status  int
	// version is the version of the backend server that responded; empty if none did.
	version string
	// problem describes why the response is invalid; empty if it is complete and belongs to the request.
	problem string
}

// succeeded reports whether a backend server responded with success.
func (r *callResult) succeeded() bool {
	return r.outcome == proxy.OutcomeDone && r.status == http.StatusOK
}

// checkEcho returns an error unless the response body echoes the path of a read or the key and body digest of a write.
func (r *request) checkEcho(body []byte) error {
	if r.route.Idempotent {
		return r.checkRead(body)
	}
	var echo backendserver.WriteResponse
	if err := json.Unmarshal(body, &echo); err != nil {
		return errors.Wrap(err, "the response is incomplete")
	}
	if echo.Key != r.key || echo.BodyDigest != r.bodyDigest() {
		return errors.Errorf("the response belongs to key %q", echo.Key)
	}
	return nil
}

// checkRead returns an error unless the response body of a read echoes the path of the request.
func (r *request) checkRead(body []byte) error {
	var echo backendserver.ReadResponse
	if err := json.Unmarshal(body, &echo); err != nil {
		return errors.Wrap(err, "the response is incomplete")
	}
	if echo.Path != r.path {
		return errors.Errorf("the response belongs to path %q", echo.Path)
	}
	return nil
}
