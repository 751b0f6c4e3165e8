package resources

import "time"

const (
	// connCost is the memory of a connection without a request, in bytes: its buffers, those of the kernel among them, and the
	// stacks of its goroutines.
	connCost = 32 << 10
	// requestCost is the memory of a request in flight beside its header and body, in bytes: the stacks of its goroutines, its
	// copies of the header, and the buffers of the connection to the backend server.
	requestCost = 32 << 10
	// http2ConnCost is the memory of a connection that carries HTTP/2, in bytes, beside its requests: a frame, the tables of
	// both directions, and what was received for requests that do not read it.
	http2ConnCost = 64 << 10
	// fieldCost is the memory of a header field, in bytes, beside its text: its entries in the maps of the request and of the
	// copies that are made of them.
	fieldCost = 384
	// textCopies is the number of times that the text of a header or a body is in memory while a request is handled.
	textCopies = 2

	// readBuffer is the size of the kernel's receive buffer of a connection, in bytes, and longBodyBuffer that of one with a
	// long body, which would be slow otherwise over a link of long delay. What waits there counts to the instance's memory.
	readBuffer     = 8 << 10
	longBodyBuffer = 64 << 10
	// writeBuffer is the size of the kernel's send buffer of a connection, in bytes, and longWriteBuffer that of one with a
	// long response, for which the connection holds memory.
	writeBuffer     = 16 << 10
	longWriteBuffer = 128 << 10
	// longBody is the length of a body from which it counts as long.
	longBody = 32 << 10

	// progressBytes is the number of bytes that a client must send or receive for its connection to count as making progress.
	// Each completed request counts as well.
	progressBytes = 4 << 10
	// stallTimeout is the time without progress after which the connection of a client whose turn it is is closed. A link
	// that is cut for some seconds, as on a failover, does not reach it.
	stallTimeout = 15 * time.Second
	// keepIdle is the time for which an unused connection is kept. It is longer than the time for which the clients in this
	// project keep one.
	keepIdle = 2 * time.Minute
	// pressureStall is the time without progress from which a connection may be closed to make room for another one. It is
	// longer than a round trip with one lost packet.
	pressureStall = time.Second

	// memoryShare is the share of the memory limit of a process that connections may hold. The rest is for the process's own
	// state and for garbage.
	memoryShare = 0.3
	// smallBytes is what a connection may hold when the memory is nearly used up, and smallShare the share of the memory that
	// is kept for connections that hold no more: ordinary requests fit.
	smallBytes = 96 << 10
	smallShare = 0.25
	// lentShare is the share of the memory that closed connections hold and that is given to others before they have ended, which
	// takes moments.
	lentShare = 0.25
	// ownShare is the share of the descriptors that is kept for the process itself: its files and the connections that it opens.
	ownShare = 0.2

	// megabyte is the unit of the memory limit, in bytes. Of the two in use it is the smaller one.
	megabyte = 1_000_000
	// defaultMemory is the memory for connections, in bytes, of a process without a memory limit.
	defaultMemory = 256 << 20
)

// Limits bounds what all connections of a process hold together.
type Limits struct {
	// Descriptors is the number of connections, Memory the number of bytes.
	Descriptors int
	Memory      int64
}

// NewLimits returns the limits of a process that may open a number of descriptors and use memoryMB of memory, 0 for no limit.
func NewLimits(descriptors, memoryMB int) Limits {
	limits := Limits{Descriptors: descriptors - int(ownShare*float64(descriptors)), Memory: defaultMemory}
	if memoryMB > 0 {
		limits.Memory = int64(memoryShare * float64(memoryMB*megabyte))
	}
	return limits
}

// Class is a kind of listener. Its share of the limits is kept back for it; what no class uses or has kept back is for all.
type Class struct {
	Name  string
	Share float64
	// MaxBody is the number of bytes of a request's body that its handler has in memory at most.
	MaxBody int64
	// HandlerRefuses is set if the handler itself answers a request for which there is no memory: to it, all memory is refused.
	HandlerRefuses bool
	// IdleTimeout is the time after which an unused connection is closed; 0 leaves that to the server.
	IdleTimeout time.Duration
}

// The classes of listeners. Operators and other instances reach a control instance at one address, that of Control.
var (
	Callers       = Class{Name: "callers", Share: 0.4, MaxBody: 64 << 10}
	Gate          = Class{Name: "gate", Share: 0.15, MaxBody: 96 << 10, HandlerRefuses: true, IdleTimeout: keepIdle}
	Control       = Class{Name: "control", Share: 0.15, MaxBody: 64 << 20, IdleTimeout: keepIdle}
	Announcements = Class{Name: "announcements", Share: 0.03, MaxBody: 64 << 10, IdleTimeout: keepIdle}
	Readiness     = Class{Name: "readiness", Share: 0.03, MaxBody: 64 << 10, IdleTimeout: keepIdle}
	Admin         = Class{Name: "admin", Share: 0.03, MaxBody: 64 << 10, IdleTimeout: keepIdle}
)
