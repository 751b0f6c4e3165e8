package proxy

import "sync"

// exchangeOrder lets the exchanges on a connection begin one after the other. The transport takes a connection back as soon as a
// response has been read, before anybody has looked at it.
//
// Invariant: no exchange begins on a connection on which a refusal without an ID has come. The backend server may write it again.
type exchangeOrder struct {
	mu sync.Mutex
	// ended is signaled when the exchange that is active ends.
	ended   *sync.Cond
	active  bool
	refused bool
}

// begin waits for the exchange before. It reports false if the connection must not be used.
func (o *exchangeOrder) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended == nil {
		o.ended = sync.NewCond(&o.mu)
	}
	for o.active {
		o.ended.Wait()
	}
	o.active = true
	return !o.refused
}

// end ends the exchange. Refused is set if its response is a refusal without an ID.
func (o *exchangeOrder) end(refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active = false
	o.refused = o.refused || refused
	o.ended.Signal()
}
