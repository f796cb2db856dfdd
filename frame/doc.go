// Package frame reads and writes HTTP/1.1 messages byte by byte. The relay needs
// to know exactly where a message ends and whether it ended whole, which the HTTP
// libraries do not tell: what follows an answer, an answer that ends with its
// connection, and a caller that closes while its request runs. Whatever leaves
// room for two readings is refused.
package frame
