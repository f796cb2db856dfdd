// Package stream reads and writes server-sent events and records the content of a
// streamed answer.
package stream
