package suspect

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// firstHoldBuffer is the size of the first buffer for a body that is held, in bytes.
	firstHoldBuffer = 64 << 10
	// skipTimeout bounds the time for which the rest of a body is read after a crash, while its caller waits for the answer. A body
	// of 64 MiB takes half of it on a link of 1 Gbit/s.
	skipTimeout = time.Second
	// skipBuffer is the size of the pieces in which the rest of a body is skipped, in bytes.
	skipBuffer = 16 << 10
)

// LongBody is a body that is passed on as it is read. It hashes the body on the way, because whether the request crashed its
// backend server shows only afterwards. It is safe for concurrent use: an aborted exchange may still be reading.
type LongBody struct {
	mu     sync.Mutex
	source io.Reader
	// declared is the length of the body, -1 if it is not known before its end.
	declared int64
	hash     *xxhash.Digest
	read     int64
	ended    bool
	failure  error
	// held is what has been read and not passed on yet.
	held []byte
}

// NewLongBody returns the body of a request of the given identity. Its length is -1 if it is not known.
func NewLongBody(source io.Reader, length int64, identity Identity) *LongBody {
	return &LongBody{source: source, declared: length, hash: identity.digest()}
}

// Read implements io.Reader.
func (b *LongBody) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.held) > 0 {
		n := copy(buffer, b.held)
		b.held = b.held[n:]
		return n, nil
	}
	return b.readSource(buffer)
}

// readSource reads and hashes a piece.
func (b *LongBody) readSource(buffer []byte) (int, error) {
	if b.failure != nil {
		return 0, b.failure
	}
	n, err := b.source.Read(buffer)
	_, _ = b.hash.Write(buffer[:n])
	b.read += int64(n)
	b.ended = b.ended || errors.Is(err, io.EOF) || b.read == b.declared
	b.failure = err
	return n, err
}

// size returns the length of the body, -1 if it is not known.
func (b *LongBody) size() int64 {
	if b.declared >= 0 {
		return b.declared
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return b.read
	}
	return -1
}

// fingerprint returns the fingerprint of the request. It reports false if the end of the body has not been read; it does not wait
// for an exchange that is still reading.
func (b *LongBody) fingerprint() (Fingerprint, bool) {
	if !b.mu.TryLock() {
		return 0, false
	}
	defer b.mu.Unlock()
	return Fingerprint(b.hash.Sum64()), b.ended
}

// wholeFingerprint reads the rest of the body and returns the fingerprint of the request. It reports false if the body does not end
// before the context does and within skipTimeout.
func (b *LongBody) wholeFingerprint(ctx context.Context) (Fingerprint, bool) {
	ctx, cancel := context.WithTimeout(ctx, skipTimeout)
	defer cancel()
	var fingerprint Fingerprint
	err := b.await(ctx, func() error {
		buffer := make([]byte, skipBuffer)
		for !b.ended {
			if _, err := b.readSource(buffer); err != nil && !b.ended {
				return err
			}
		}
		fingerprint = Fingerprint(b.hash.Sum64())
		return nil
	})
	return fingerprint, err == nil
}

// Hold reads the body up to a limit before it is passed on. It takes memory by reserve, and returns the error of reserve, of
// the body, or of the context.
func (b *LongBody) Hold(ctx context.Context, limit int64, reserve func(bytes int64) error) error {
	return b.await(ctx, func() error {
		for int64(len(b.held)) < limit && !b.ended {
			if len(b.held) == cap(b.held) {
				size := min(max(firstHoldBuffer, 2*int64(len(b.held))), limit)
				if err := reserve(size - int64(len(b.held))); err != nil {
					return err
				}
				b.held = append(make([]byte, 0, size), b.held...)
			}
			n, err := b.readSource(b.held[len(b.held):cap(b.held)])
			b.held = b.held[:len(b.held)+n]
			if err != nil && !b.ended {
				return errors.Wrap(err, "read the body")
			}
		}
		return nil
	})
}

// await runs a function that reads the source, and returns its error or that of the context. A read that waits for the caller
// goes on after that.
func (b *LongBody) await(ctx context.Context, read func() error) error {
	done := make(chan error, 1)
	go func() {
		b.mu.Lock()
		err := read()
		// Released before the result is sent, since fingerprint does not wait for it.
		b.mu.Unlock()
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
