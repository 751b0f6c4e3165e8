package deployment

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"samphireflow/internal/backendserver"
	"samphireflow/internal/proxy"
)

// answer is what a caller got for one request.
type answer struct {
	outcome proxy.Outcome
	status  int
	// version is the backend server version that answered; empty if none did.
	version string
	// fault says what is wrong with the answer; empty if it is whole and belongs to the request.
	fault string
}

// good reports whether a backend server answered with success.
func (a *answer) good() bool {
	return a.outcome == proxy.OutcomeDone && a.status == http.StatusOK
}

// checkEcho returns an error unless the body of an answer belongs to the request.
func (r *request) checkEcho(body []byte) error {
	if r.route.Idempotent {
		return r.checkRead(body)
	}
	var echo backendserver.WriteResponse
	if err := json.Unmarshal(body, &echo); err != nil {
		return errors.Wrap(err, "the answer is not whole")
	}
	if echo.Key != r.key || echo.BodyDigest != r.bodyDigest() {
		return errors.Errorf("the answer belongs to key %q", echo.Key)
	}
	return nil
}

func (r *request) checkRead(body []byte) error {
	var echo backendserver.ReadResponse
	if err := json.Unmarshal(body, &echo); err != nil {
		return errors.Wrap(err, "the answer is not whole")
	}
	if echo.Path != r.path {
		return errors.Errorf("the answer belongs to path %q", echo.Path)
	}
	return nil
}
