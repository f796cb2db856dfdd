// Package demo runs a whole site in one process: three control members, four
// entries in three availability zones, stand-in engines and a stand-in ledger. It
// sends each kind of work once or more and reports what became of it.
package demo
