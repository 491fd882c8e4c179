// Command kumctl is the operators' command-line client.
package main

import (
	"os"

	"kumquathinge/io/oper/opcli"
)

func main() {
	os.Exit(opcli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
