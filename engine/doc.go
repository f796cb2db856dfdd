// Package engine is the HTTP client for model engines and plain services. It never
// retries a call by itself. Its errors tell whether any byte of a failed call may have
// left this process, which decides whether a retry is safe.
package engine
