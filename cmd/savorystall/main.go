// Command savorystall is the operators' command-line tool: it edits service
// documents in the platform's table and shows the state of the daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/savorystall/savorystall/internal/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Run(ctx, cli.Invocation{
		Args:   os.Args[1:],
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
	})
}
