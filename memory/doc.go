// Package memory bounds the memory of the messages that a process holds at the same time, and divides
// it fairly among their sources, so that one that sends without end takes none that others need.
package memory
