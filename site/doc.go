// Package site runs a whole site inside one process, on loopback: control members,
// entries, stand-in engines and a stand-in service. The demo and the experiments
// of the load tool use it.
package site
