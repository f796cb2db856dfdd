// Package clock provides the only source of time in galenaslip, in
// milliseconds. Every other package takes a Clock from its caller, so tests run
// on a manual clock and never wait.
package clock
