// Package demo runs a whole site in one process: three control members, four
// entries in three availability zones, stand-in engines and a stand-in ledger. It
// sends requests of each class and reports their outcomes.
package demo
