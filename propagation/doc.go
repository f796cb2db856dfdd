// Package propagation decides when a change may be acknowledged: once every entry that may
// still act on the former state has learned of the change, or loses its lease within the
// time for which the acknowledgement allows it. It needs no network.
//
// Entries act on the control group's state only while they hold a lease, and each lease
// counts from a request to the leader. An entry that has not learned of a change therefore
// stops acting on the former state at the latest one lease duration after the change. The
// leader keeps one Tracker for each kind of state, and so does each member that answers
// entries on the leader's behalf: it reports to the leader what all of its entries know.
package propagation
