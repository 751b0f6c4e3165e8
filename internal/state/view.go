package state

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// View is the state at one configuration version. It is immutable and safe for concurrent use.
type View struct {
	// Version is the configuration version. It increases by one with each accepted change.
	Version uint64
	// Term is the term of the log entry that created the version.
	Term uint64
	Tree *tree.Tree
	// versions holds the backend server versions that moves and adoptions have set, by service. They take precedence over
	// the version in the tree.
	versions map[string]string
	// moves holds the stored moves by ID.
	moves map[string]*apiv1.Move
	// moveOrder lists the IDs of the stored moves from the oldest to the newest.
	moveOrder   []string
	history     history
	assignments []*apiv1.Assignment
	// document is the published document in force, or nil if none was published yet.
	document *apiv1.Document
}

func emptyView() *View {
	return &View{Tree: tree.New(), versions: map[string]string{}, moves: map[string]*apiv1.Move{}}
}

// ServiceVersion returns the backend server version of a service, or "" if none is set. During a move, it is the version
// from before the move.
func (v *View) ServiceVersion(service string) string {
	if version, ok := v.versions[service]; ok {
		return version
	}
	return v.Tree.Text(tree.Path{Level: tree.LevelService, Service: service}, tree.KeyServiceVersion)
}

// Document returns the published document in force, or nil if none was published yet. The caller must not modify the
// message.
func (v *View) Document() *apiv1.Document {
	return v.document
}

// Move returns the move with an ID, or nil if there is none. The caller must not modify the message.
func (v *View) Move(id string) *apiv1.Move {
	return v.moves[id]
}

// Moves lists the stored moves from the oldest to the newest. The caller must not modify the messages.
func (v *View) Moves() []*apiv1.Move {
	list := make([]*apiv1.Move, 0, len(v.moveOrder))
	for _, id := range v.moveOrder {
		list = append(list, v.moves[id])
	}
	return list
}

// ActiveMove returns the move of a service that has not ended, or nil if there is none. The caller must not modify the
// message.
func (v *View) ActiveMove(service string) *apiv1.Move {
	for _, id := range v.moveOrder {
		if move := v.moves[id]; move.Service == service && Active(move) {
			return move
		}
	}
	return nil
}

// ActiveMoves lists the moves that have not ended, from the oldest to the newest. The caller must not modify the
// messages.
func (v *View) ActiveMoves() []*apiv1.Move {
	var list []*apiv1.Move
	for _, id := range v.moveOrder {
		if move := v.moves[id]; Active(move) {
			list = append(list, move)
		}
	}
	return list
}

// Active reports whether a move has not ended.
func Active(move *apiv1.Move) bool {
	return move.State == apiv1.MoveState_MOVE_STATE_RUNNING || move.State == apiv1.MoveState_MOVE_STATE_WATCHING
}

// History lists at most limit accepted changes, the newest first. If before is not 0, only versions below it are listed.
func (v *View) History(before uint64, limit int) []*apiv1.HistoryEntry {
	var list []*apiv1.HistoryEntry
	for i := len(v.history.entries) - 1; i >= 0 && len(list) < limit; i-- {
		if entry := v.history.entries[i]; before == 0 || entry.version < before {
			list = append(list, entry.decode())
		}
	}
	return list
}

// TreeAt returns the tree as it was at a version. It returns false if the version does not exist or if the history does
// not reach back to it.
func (v *View) TreeAt(version uint64) (*tree.Tree, bool) {
	if version == 0 || version > v.Version {
		return nil, false
	}
	entries := v.history.entries
	older := v.Tree
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].version <= version {
			return older, true
		}
		undone, err := older.Undo(entries[i].decode().Before)
		if err != nil {
			return nil, false
		}
		older = undone
	}
	return older, len(entries) > 0 && entries[0].version == version+1
}

// next returns a copy of the view with the next version. The caller applies a change to the copy before it is shared.
func (v *View) next(term uint64) *View {
	copied := *v
	copied.Version = v.Version + 1
	copied.Term = term
	return &copied
}
