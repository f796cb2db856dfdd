// Package control is the process that runs one member of the control group. It
// composes the configuration and claim state machines over the replicated log,
// grants configuration leases while it leads, replaces lost voters, and serves
// the control API. Client is how entries and the command line call it.
package control
