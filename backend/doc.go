// Package backend stores what an entry knows about its backend servers: their
// newest announcements, an upper bound of the age of each, and the digests in which
// entries exchange them.
//
// The age of an announcement counts from the time at which the entry issued the
// challenge that the server echoes, and an entry that receives a digest adds the
// whole round trip of the pull. An age is therefore never underestimated, however
// long a message was in transit.
//
// Digests are deltas over a version vector: each accepted announcement gets a
// tag (origin, counter), and the pulling entry sends the highest counter that it
// has of each origin. If the puller already has the static part of a record, the
// record is sent as a refresh: the changing fields and a checksum of the static part.
package backend
