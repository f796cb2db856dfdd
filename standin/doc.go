// Package standin provides stand-ins for model engines and plain services, for tests
// and load experiments. They speak the published protocol of backend servers and
// simulate faults on request.
package standin
