// Package control runs one member of the control group. The member applies the
// replicated log to the configuration, catalog and claim state machines and
// serves the control API. While it leads, it also grants configuration leases,
// replaces lost voters, tracks backend servers and plans the placement of
// models. Entries and the command line call the group through Client.
package control
