// Package engine is the HTTP client for model engines and plain services. It
// never repeats a call by itself, and it knows whether any byte of a failed
// call may have left this process.
package engine
