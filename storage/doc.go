// Package storage stores the state of one member of a replicated log: log
// entries in segment files, the newest snapshot, and the vote.
//
// A batch of entries is stored as one frame (marker, length, CRC, payload). Each frame is
// written and synced before the next one is written, so a crash can leave only the last
// frame of the last segment incomplete. The CRC covers the segment's number and the
// frame's offset, so that a frame inside a payload, or at the wrong position, is invalid.
// All files but the current segment are replaced atomically: write a temporary file, sync
// it, rename it and sync the folder.
//
// Entries are never overwritten in place. When the segments are read, an entry whose index
// is already present replaces that entry and all that follow it.
//
// After a failed write or sync the journal refuses all further operations until Repair has
// succeeded, because the content of the file is unknown: data of a failed sync can be read, but may
// never reach the disk.
package storage
