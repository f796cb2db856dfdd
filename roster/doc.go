// Package roster is the registry of the backend servers of HTTP services. It runs at
// the control leader, which receives the servers' announcements and reports changes
// to the entries. Entries get changes only, so that the traffic to them grows with the
// number of restarts and not with the number of heartbeats.
package roster
