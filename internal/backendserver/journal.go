package backendserver

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// journal records executions in memory and, if configured, in a file. It writes a line when an execution starts and
// another when it ends, so that an execution that a crash interrupted is recorded too.
type journal struct {
	mu   sync.Mutex
	file *os.File
	// executions is indexed by ID.
	executions []Execution
}

// openJournal opens the file and reads its executions. With an empty name, executions are kept in memory only.
func openJournal(name string) (*journal, error) {
	if name == "" {
		return &journal{}, nil
	}
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the executions file")
	}
	j := &journal{file: file}
	return j, j.load()
}

// load reads the file line by line. It skips a last line that a crash left incomplete.
func (j *journal) load() error {
	scanner := bufio.NewScanner(j.file)
	for scanner.Scan() {
		var execution Execution
		if json.Unmarshal(scanner.Bytes(), &execution) == nil {
			j.merge(execution)
		}
	}
	return errors.Wrap(scanner.Err(), "read the executions file")
}

// merge adds an execution, or replaces its earlier state when the ID is known.
func (j *journal) merge(execution Execution) {
	if execution.ID < uint64(len(j.executions)) {
		j.executions[execution.ID] = execution
		return
	}
	execution.ID = uint64(len(j.executions))
	j.executions = append(j.executions, execution)
}

// start records the start of a call and returns the ID of the execution.
func (j *journal) start(call *call, version string, now time.Time) (uint64, error) {
	execution := Execution{
		Key:        call.key,
		Path:       call.path,
		Method:     call.method,
		BodyDigest: call.bodyDigest(),
		Started:    now,
		Version:    version,
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	execution.ID = uint64(len(j.executions))
	j.executions = append(j.executions, execution)
	return execution.ID, j.write(execution)
}

// end records the result of an execution.
func (j *journal) end(id uint64, result Result, now time.Time) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	execution := &j.executions[id]
	execution.Ended = &now
	execution.Result = result
	return j.write(*execution)
}

func (j *journal) write(execution Execution) error {
	if j.file == nil {
		return nil
	}
	return errors.Wrap(json.NewEncoder(j.file).Encode(execution), "write an execution")
}

// writeTo writes all executions as newline-delimited JSON.
func (j *journal) writeTo(w io.Writer) error {
	j.mu.Lock()
	list := append([]Execution(nil), j.executions...)
	j.mu.Unlock()
	encoder := json.NewEncoder(w)
	for _, execution := range list {
		if err := encoder.Encode(execution); err != nil {
			return errors.Wrap(err, "send the executions")
		}
	}
	return nil
}

func (j *journal) close() error {
	if j.file == nil {
		return nil
	}
	return errors.Wrap(j.file.Close(), "close the executions file")
}
