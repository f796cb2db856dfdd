// Package recovery keeps an unexpected error in one HTTP call from ending the process: the
// call is answered with status 500 and logged, and all others go on. Broken invariants of the
// replicated log are found outside HTTP handlers and still stop the process.
package recovery
