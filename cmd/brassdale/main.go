// Brassdale is the dispatcher on real sockets. The platform's variables tell it all that it needs.
package main

import (
	"fmt"
	"os"

	"brassdale/internal/command"
)

func main() {
	if err := command.New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "brassdale:", err)
		os.Exit(1)
	}
}
