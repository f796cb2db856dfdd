// Package clock is the only source of time in galenaslip. It counts in
// milliseconds. Every other package takes a Clock from its caller, so that tests
// can run on a manual clock without waiting.
package clock
