// Package roster keeps what backend servers of HTTP services say of themselves,
// at the control member that leads, and gives the changes to the entries. Entries
// get changes only, so the traffic grows with restarts and not with heartbeats.
package roster
