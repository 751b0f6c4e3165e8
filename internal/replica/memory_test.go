package replica

import (
	"bytes"
	"encoding/gob"
)

// memory is a state machine that keeps all commands.
type memory struct {
	commands []string
}

func (m *memory) Apply(_, _ uint64, data []byte) []byte {
	m.commands = append(m.commands, string(data))
	return []byte("done " + string(data))
}

func (m *memory) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(m.commands)
	return buffer.Bytes(), err
}

func (m *memory) Restore(image []byte) error {
	m.commands = nil
	return gob.NewDecoder(bytes.NewReader(image)).Decode(&m.commands)
}
