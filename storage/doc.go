// Package storage stores the state of one member of a replicated log: log
// entries in segment files, the newest snapshot, and the vote.
//
// A batch of entries is one frame (marker, length, CRC, payload), written and
// synced before the next one is written, so at most the last frame of the last
// segment can be torn by a crash. The CRC covers the segment's number and the
// frame's offset, so that a frame inside a payload, or in the wrong place, is
// not valid. Files other than the current segment change by write, sync, rename
// and sync of the folder.
//
// Entries are never erased in place: an entry whose index is already present
// replaces that entry and all that follow it when the segments are read again.
//
// After a failed write or sync the journal refuses all further work, because
// the state of the file is unknown until it is read again.
package storage
