// Package membership decides which control members are voters. The leader replaces a voter
// that it has not heard from for 10 s, or whose disk has taken no writes for that time, by a
// learner that has caught up, one change at a time, so that the group also survives the loss of
// a second member.
package membership
