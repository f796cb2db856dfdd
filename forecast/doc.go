// Package forecast predicts how long a request waits at a model engine, and decides from it
// which requests are refused at once because they would begin too late. It needs no network.
package forecast
