// Brassdale is the dispatcher on real sockets. The platform's variables tell it all that it needs.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"brassdale/internal/program"
)

func main() {
	operator := flag.String("operator", "", "operator's file that switches the front for progress on, such as deploy/progress.toml")
	flag.Parse()
	// A channel each: where one signal waits already, a further one is dropped, and a SIGTERM must not be
	// dropped for a SIGHUP. Both are taken from the first moment on, or a SIGHUP would end the program.
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	if err := program.Run(os.Getenv, *operator, os.Stderr, ends, reloads); err != nil {
		fmt.Fprintln(os.Stderr, "brassdale:", err)
		os.Exit(1)
	}
}
