// Package lease holds the rules of the configuration lease. An entry with a
// lease has the newest accepted configuration, or will have lost its lease
// within 3 s of the acceptance.
//
// The Grantor belongs to the control leader, the Holder to an entry. Each
// measures time on its own clock; only durations are sent. The holder counts its
// lease from the moment that it sent the request and the grantor from the moment
// that it granted, so the holder's lease always ends first.
package lease
