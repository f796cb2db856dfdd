// Package commands implements the command line of galenaslip. Each command reads
// its arguments, calls the package that does the work and prints the result.
package commands
