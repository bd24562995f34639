// Command keelctl is the command-line client of the resource API.
package main

import (
	"context"
	"fmt"
	"os"

	"acaciakeel/ctl"
)

func main() {
	err := ctl.Command(os.Stdout).Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "keelctl:", err)
	}
	os.Exit(ctl.ExitCode(err))
}
