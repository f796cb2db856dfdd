package stream

import "bytes"

// AppendEvent appends an event to b. An empty name appends no event field.
func AppendEvent(b []byte, name string, data []byte) []byte {
	if name != "" {
		b = append(b, "event: "...)
		b = append(b, name...)
		b = append(b, '\n')
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	return append(b, '\n')
}

// AppendComment appends a comment to b. Comments show the reader of an idle stream that
// the connection still works.
func AppendComment(b []byte, text string) []byte {
	b = append(b, ": "...)
	b = append(b, text...)
	return append(b, "\n\n"...)
}
