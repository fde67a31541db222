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
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if err := program.Run(os.Getenv, *operator, os.Stderr, signals); err != nil {
		fmt.Fprintln(os.Stderr, "brassdale:", err)
		os.Exit(1)
	}
}
