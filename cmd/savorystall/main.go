// Command savorystall is the operators' tool: it edits service documents in the
// platform's table and shows what the daemons do with them.
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
	return cli.Run(ctx, cli.System{
		Arguments: os.Args[1:],
		Input:     os.Stdin,
		Output:    os.Stdout,
		Errors:    os.Stderr,
	})
}
