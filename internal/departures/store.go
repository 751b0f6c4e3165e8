// Package departures keeps on the disk of a control instance which backend servers have announced that they stop, and which
// ones operators have ordered to drain. Nodes have no disk, and all processes of the control group may end at once; without the
// file a backend server whose drain was acknowledged could get work again.
package departures

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/wal"
)

const (
	fileName = "departures"
	// retention is the time for which a departure is kept. Announcements of a stopped backend server arrive late by seconds.
	retention = time.Hour
	// maxBytes limits the file, which is written whole at each departure. It holds thousands of departures.
	maxBytes = 1 << 20
)

// Store is the file with the departures. It is safe for concurrent use.
type Store struct {
	fs  wal.FS
	dir string
	now func() time.Time

	mu sync.Mutex
	// list holds the stored departures, oldest first.
	list []*apiv1.Departure
	// known holds the departures that are not to be stored again: those of list, and those that are past their retention but
	// still passed to Save.
	known map[departureKey]bool
}

// departureKey identifies what is stored of one start of a backend server.
type departureKey struct {
	instance    string
	incarnation uint64
	leaving     bool
	drainOrder  uint64
	// started is the time until which a withdrawal covers starts.
	started int64
}

// Open returns the store in a data folder, which must be locked by this process. If the file is damaged, it returns an empty
// store and the error.
func Open(fs wal.FS, dir string) (*Store, error) {
	s := &Store{fs: fs, dir: dir, now: time.Now, known: map[departureKey]bool{}}
	payload, err := wal.LoadFile(fs, dir, fileName)
	if err != nil {
		return s, errors.Wrap(err, "departures")
	}
	content := &apiv1.Departures{}
	if err := proto.Unmarshal(payload, content); err != nil {
		return s, errors.Wrap(err, "departures: decode the file")
	}
	s.set(s.retained(content.List), nil)
	return s, nil
}

// Servers lists the stored records, oldest first. There may be several of one start of a backend server.
func (s *Store) Servers() []*apiv1.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := make([]*apiv1.BackendServer, 0, len(s.list))
	for _, departure := range s.list {
		servers = append(servers, departure.Server)
	}
	return servers
}

// Save stores the given records durably. It writes nothing if all are stored already.
func (s *Store) Save(servers []*apiv1.BackendServer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var added []*apiv1.Departure
	for _, server := range servers {
		if !s.known[keyOf(server)] {
			added = append(added, &apiv1.Departure{Server: server, StoredUnixMs: s.now().UnixMilli()})
		}
	}
	if len(added) == 0 {
		return nil
	}
	list := s.retained(append(s.list[:len(s.list):len(s.list)], added...))
	payload, err := proto.Marshal(&apiv1.Departures{List: list})
	if err != nil {
		return errors.Wrap(err, "departures: encode the file")
	}
	if err := wal.SaveFile(s.fs, s.dir, fileName, payload); err != nil {
		return errors.Wrap(err, "departures")
	}
	s.set(list, servers)
	return nil
}

// retained returns the departures without those beyond the retention and the oldest ones beyond the size of the file.
func (s *Store) retained(list []*apiv1.Departure) []*apiv1.Departure {
	size := 0
	oldest := s.now().Add(-retention).UnixMilli()
	for i := len(list) - 1; i >= 0; i-- {
		if size += proto.Size(list[i]); size > maxBytes || list[i].StoredUnixMs < oldest {
			return list[i+1:]
		}
	}
	return list
}

func (s *Store) set(list []*apiv1.Departure, saved []*apiv1.BackendServer) {
	s.list = list
	s.known = make(map[departureKey]bool, len(list)+len(saved))
	for _, server := range saved {
		s.known[keyOf(server)] = true
	}
	for _, departure := range list {
		s.known[keyOf(departure.Server)] = true
	}
}

func keyOf(server *apiv1.BackendServer) departureKey {
	return departureKey{server.Instance, server.Incarnation, server.Leaving, server.DrainOrder, server.StartedUnixMs}
}
