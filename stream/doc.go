// Package stream reads and writes server-sent events and keeps the transcript
// of a streamed answer.
package stream
