package memory

import (
	"io"

	"github.com/pkg/errors"
)

var (
	// ErrTooLarge means that a message exceeds its limit.
	ErrTooLarge = errors.New("message is larger than allowed")
	// ErrNoMemory means that no memory is left for a message.
	ErrNoMemory = errors.New("no memory is left for the message")
)

const (
	// firstReserve is the size of the first part of a message for which memory is reserved, in
	// bytes. A message that only announces a large body gets no more.
	firstReserve = 8 << 10
	readBuffer   = 4 << 10 // bytes
)

// Budget bounds the memory of a message.
type Budget interface {
	// Reserve reserves a number of bytes and reports whether that many are left.
	Reserve(bytes int) bool
}

// ReadAll reads up to the end. The number of bytes that follow may be known; it is -1 otherwise.
// ReadAll returns ErrTooLarge if there are more than limit bytes, and ErrNoMemory if the budget,
// unless nil, has none left for them. What was reserved stays so, also after an error.
func ReadAll(r io.Reader, length int64, limit int, b Budget) ([]byte, error) {
	if length > int64(limit) {
		return nil, ErrTooLarge
	}
	var data []byte
	buffer := make([]byte, readBuffer)
	for {
		n, err := r.Read(buffer)
		if len(data)+n > limit {
			return nil, ErrTooLarge
		}
		if len(data)+n > cap(data) {
			size := nextCapacity(len(data)+n, length, limit)
			if b != nil && !b.Reserve(size-cap(data)) {
				return nil, ErrNoMemory
			}
			data = append(make([]byte, 0, size), data...)
		}
		data = append(data, buffer[:n]...)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextCapacity returns the capacity for a message of which the given number of bytes has arrived:
// its length if that is known and small, otherwise double.
func nextCapacity(arrived int, length int64, limit int) int {
	capacity := max(2*arrived, min(firstReserve, limit))
	if length >= 0 {
		capacity = min(capacity, max(int(length), arrived))
	}
	return min(capacity, limit)
}

// Discard reads up to the end and keeps nothing. It returns ErrTooLarge if there are more than limit
// bytes.
func Discard(r io.Reader, limit int) error {
	buffer := make([]byte, min(limit+1, readBuffer))
	for discarded := 0; discarded <= limit; {
		n, err := r.Read(buffer)
		discarded += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ErrTooLarge
}
