// Command balsamvalve schedules agent programs for a consortium whose members
// share model engines, tools and hosts.
package main

import (
	"os"

	"balsamvalve.example/bvcommand"
)

func main() {
	os.Exit(bvcommand.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
