// Command galenaslip routes language-model traffic and plain service calls
// with service levels and priorities.
package main

import (
	"os"

	"github.com/galenaslip/galenaslip/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
