// Command trefoilctl is the operators' command line.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// versionCommand prints the build's version.
type versionCommand struct{}

// Execute implements flags.Commander.
func (versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("unknown")
		return nil
	}
	fmt.Println(info.Main.Version)
	return nil
}

func main() {
	parser := flags.NewParser(&struct{}{}, flags.Default)
	if _, err := parser.AddCommand("version", "Print the version", "Print the version", &versionCommand{}); err != nil {
		panic(err)
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
