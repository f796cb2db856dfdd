package storage

import (
	"fmt"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Outcome classifies the reasons why a journal cannot be used.
type Outcome int

// Reasons why a journal cannot be used.
const (
	// Failed means an error of the file system that no other outcome describes.
	Failed Outcome = iota
	// Damaged means that stored data was lost or changed. The member must not vote with
	// this folder again.
	Damaged
	// WrongOwner means that the folder belongs to another member.
	WrongOwner
	// Locked means that another process uses the folder.
	Locked
	// Full means that the disk has no space left, or that a file may not become larger.
	Full
	// ReadOnly means that the disk or the folder cannot be written to.
	ReadOnly
	// Closed means that an earlier write failed or the journal was closed.
	Closed
)

var outcomeNames = map[Outcome]string{
	Failed: "failed", Damaged: "damaged", WrongOwner: "foreign", Locked: "locked",
	Full: "disk full", ReadOnly: "disk read-only", Closed: "closed",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Error is an error of this package, with the path of the affected file or folder.
type Error struct {
	Outcome Outcome
	Path    string
	Reason  string
	Cause   error
}

// Error returns the message.
func (e *Error) Error() string {
	text := fmt.Sprintf("storage: %s: %s: %s", e.Outcome, e.Path, e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the error of the file system, if there is one.
func (e *Error) Unwrap() error { return e.Cause }

// OutcomeOf returns the outcome of an error of this package, or Failed for other errors.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Failed
}

// IsTemporary reports whether an operation that failed with the error may succeed later although
// nobody changes the settings: the disk was full, read-only or had an input/output error.
func IsTemporary(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Outcome {
	case Full:
		return true
	case ReadOnly:
		return !errors.Is(e.Cause, os.ErrPermission)
	default:
		return errors.Is(e.Cause, syscall.EIO)
	}
}

// newDamagedError returns an error with the outcome Damaged.
func newDamagedError(path, format string, values ...any) error {
	return &Error{Outcome: Damaged, Path: path, Reason: fmt.Sprintf(format, values...)}
}

// newFileError wraps an error of the file system and classifies it.
func newFileError(path, action string, cause error) error {
	outcome := Failed
	switch {
	case errors.Is(cause, syscall.ENOSPC), errors.Is(cause, syscall.EDQUOT), errors.Is(cause, syscall.EFBIG):
		outcome = Full
	case errors.Is(cause, syscall.EROFS), errors.Is(cause, os.ErrPermission):
		outcome = ReadOnly
	case errors.Is(cause, syscall.EWOULDBLOCK):
		outcome = Locked
	}
	return &Error{Outcome: outcome, Path: path, Reason: action, Cause: cause}
}
