package member

import (
	"maps"
	"slices"

	apiv1 "samphireflow/api/v1"
)

// Directory is a reader's copy of the backend servers of a Table, kept current by updates. It is not safe for
// concurrent use.
type Directory struct {
	source  string
	seq     uint64
	servers map[string]*apiv1.BackendServer
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: map[string]*apiv1.BackendServer{}}
}

// Position returns the source and the sequence number of the last update applied.
func (d *Directory) Position() (string, uint64) {
	return d.source, d.seq
}

// Apply applies an update; a full update replaces all entries. It passes over records that fail CheckServer and returns the
// reasons, so that one of them does not keep out the others.
func (d *Directory) Apply(update *apiv1.MembersUpdate) []error {
	if update.Full {
		d.servers = map[string]*apiv1.BackendServer{}
	}
	var invalid []error
	for _, server := range update.Servers {
		if err := CheckServer(server); err != nil {
			invalid = append(invalid, err)
			delete(d.servers, server.GetInstance())
			continue
		}
		d.servers[server.Instance] = server
	}
	for _, instance := range update.Removed {
		delete(d.servers, instance)
	}
	d.source = update.Source
	d.seq = update.Seq
	return invalid
}

// Servers lists the backend servers in order of instance name.
func (d *Directory) Servers() []*apiv1.BackendServer {
	list := make([]*apiv1.BackendServer, 0, len(d.servers))
	for _, instance := range slices.Sorted(maps.Keys(d.servers)) {
		list = append(list, d.servers[instance])
	}
	return list
}
