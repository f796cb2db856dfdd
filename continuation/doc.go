// Package continuation decides where a stream goes on that has broken off. The answers of different
// software versions of a server do not fit together, and servers do not check this: a stream may go
// on only at the version that began it. It uses no network.
//
// Records. The process that passes on the first event of a stream records its origin: the service
// and the version that began it. Each record is told to a few holders (Holders), which outlive the
// process and keep it on disk; a caller that takes a stream up at another process has it found there
// (Records).
//
// Versions. The control group keeps which versions of each service are in service or have been until
// lately (Table). A version is in the table before the first stream can begin at it, and leaves it
// only after the streams that it began can no longer be taken up.
//
// Confirmation. A server may be started again under its name at another version before anybody learns of
// it. So the process that began a stream asks the control leader soon after whether heartbeats of the server
// confirm the version, and the record keeps the answer (Record.Confirms). When the stream breaks off, the
// server may be gone, unknown to a new leader, or another run, of which heartbeats say nothing about the
// run that began the stream.
//
// Decision. A stream with a record goes on at its origin alone. Without a record, it goes on if its
// service has one version in the table, which must be the one that began it. Otherwise it does not go
// on: a caller that is told so can begin anew, and one that got a text joined from two versions could
// not know (Decide). So records may be lost; a lost one never joins two versions.
package continuation
