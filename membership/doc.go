// Package membership decides which control members vote. The leader replaces a
// voter that it has not heard from for 10 s by a learner that has caught up, one
// change at a time, so that the group survives a second loss.
package membership
