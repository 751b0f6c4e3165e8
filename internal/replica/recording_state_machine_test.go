package replica

import (
	"bytes"
	"encoding/gob"
)

// recordingStateMachine is a state machine that records all commands.
type recordingStateMachine struct {
	commands []string
}

func (m *recordingStateMachine) Apply(_, _ uint64, data []byte) []byte {
	m.commands = append(m.commands, string(data))
	return []byte("done " + string(data))
}

func (m *recordingStateMachine) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(m.commands)
	return buffer.Bytes(), err
}

func (m *recordingStateMachine) Restore(data []byte) error {
	m.commands = nil
	return gob.NewDecoder(bytes.NewReader(data)).Decode(&m.commands)
}
