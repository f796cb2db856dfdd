// Package backend keeps what an entry knows about the servers behind it: their
// announcements, how old these are at most, and the digests in which entries
// exchange them.
//
// The age of an announcement counts from the moment the entry issued the
// challenge that the server echoes, and a digest adds the whole round trip of
// the pull. An age is therefore never underestimated, however long a message
// was under way.
//
// Digests are deltas over a version vector: each accepted announcement gets a
// tag (origin, counter), and the pulling entry names the highest counter that it
// has of each origin. A record whose slowly changing part the other side already
// has travels as a short refresh with a checksum of that part.
package backend
