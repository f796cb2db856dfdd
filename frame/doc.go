// Package frame parses and writes HTTP/1.1 messages. The relay needs to know exactly
// where a message ends and whether it is complete. HTTP libraries do not report this:
// bytes that follow a response, a response that ends when its connection closes, and
// a caller that disconnects while its request runs. Messages that could be
// interpreted in more than one way are rejected.
package frame
