// Package pace tells a slow transfer from a stalled one. A transfer goes on as long as each
// period of time brings a least number of bytes: one that takes long but progresses is not
// ended, and one that only sends a byte now and then is. The package needs no network.
package pace
