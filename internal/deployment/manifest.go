package deployment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// ManifestName is the file in the deployment's folder that holds the manifest.
const ManifestName = "deployment.json"

// Manifest lists the processes and routes of a running deployment.
type Manifest struct {
	Processes []Process `json:"processes"`
	Routes    []Route   `json:"routes"`
}

// ReadManifest reads the manifest of a deployment's folder.
func ReadManifest(dir string) (Manifest, error) {
	var manifest Manifest
	text, err := os.ReadFile(filepath.Join(dir, ManifestName))
	if err != nil {
		return manifest, errors.Wrap(err, "read the manifest")
	}
	return manifest, errors.Wrapf(json.Unmarshal(text, &manifest), "read the manifest in %s", dir)
}

// write atomically replaces the manifest of a deployment's folder.
func (m *Manifest) write(dir string) error {
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "write the manifest")
	}
	name := filepath.Join(dir, ManifestName)
	if err := os.WriteFile(name+".new", append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write the manifest")
	}
	return errors.Wrap(os.Rename(name+".new", name), "write the manifest")
}

// byRole returns the processes of one role.
func byRole(processes []Process, role Role) []Process {
	var list []Process
	for _, process := range processes {
		if process.Role == role {
			list = append(list, process)
		}
	}
	return list
}
