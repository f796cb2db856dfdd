// Package backend stores what an entry knows about its backend servers: their
// newest announcements, an upper bound of the age of each, and the digests in which
// entries exchange them.
//
// The age of an announcement counts from the time at which the entry issued the
// challenge that the server echoes, and an entry that receives a digest adds the
// whole round trip of the pull. An age is therefore never underestimated, however
// long a message was in transit.
//
// Entries pull digests from each other. A digest contains only what the pulling
// entry lacks, which a version vector determines: each accepted announcement gets an
// acceptance ID (origin, counter), and the pulling entry sends the highest counter
// that it has of each origin. If it already has the fields of a record that rarely
// change (the stable fields), the record is sent as a refresh: the other fields and a
// checksum of the stable fields.
package backend
