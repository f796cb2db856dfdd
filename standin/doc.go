// Package standin holds stand-ins for model engines and plain services. They
// speak the published protocol of backend servers, and they can be made to
// fail on request, for tests and load experiments.
package standin
