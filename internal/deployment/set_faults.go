package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"samphireflow/internal/backendserver"
)

// SetFaults replaces the faults that a simulated backend server injects.
func SetFaults(ctx context.Context, server Process, faults backendserver.FaultSet) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.AdminAddr+"/faults", bytes.NewReader(text))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := pollClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("set faults of %s: %s", server.Instance, response.Status)
	}
	return nil
}
