// Command capacity measures the cost of the control plane per daemon. It fits
// that cost as a linear function of the number of daemons, targets, backlogged
// workspaces, requests and configuration changes, and prints the tables of
// docs/CAPACITY.md.
//
//	go run ./test/capacity           # all experiments, about six minutes
//	go run ./test/capacity -only links
//
// In the experiments with links, each point is measured on a daemon in a process
// of its own (the subject). All its peers share a second process, so that the CPU
// time and memory measured are those of the subject alone. All traffic stays on
// 127.0.0.1.
package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the flags of the command.
type options struct {
	Only        string        `long:"only" description:"run one experiment: links, exchange, peers, wide, requests, targets, changes, core"`
	Window      time.Duration `long:"window" default:"5s" description:"time over which each point is measured"`
	Warm        time.Duration `long:"warm" default:"2s" description:"time between the last link and the window"`
	Repeat      int           `long:"repeat" default:"1" description:"runs of each point; all of them enter the fit"`
	Exchange    time.Duration `long:"exchange" description:"interval of the exchange (default: the scheduler's own)"`
	ReduceAbove int           `long:"reduce-above" description:"daemons above which service parts are added up within zones (default: the scheduler's own)"`
	Role        string        `long:"role" hidden:"true"`
	Point       string        `long:"point" hidden:"true"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	switch o.Role {
	case roleSubject:
		return runSubject([]byte(o.Point))
	case rolePeers:
		return runPeers([]byte(o.Point))
	}
	for _, e := range experiments() {
		if o.Only != "" && o.Only != e.name {
			continue
		}
		if err := e.run(o); err != nil {
			return fmt.Errorf("%s: %w", e.name, err)
		}
	}
	if o.Only == "" || o.Only == coreExperiment {
		return measureCore()
	}
	return nil
}

// measurePoint measures one point in a new process.
func measurePoint(p Point) (Sample, error) {
	pointJSON, err := json.Marshal(p)
	if err != nil {
		return Sample{}, err
	}
	cmd := exec.Command(os.Args[0], "--role", roleSubject, "--point", string(pointJSON))
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return Sample{}, fmt.Errorf("measuring point %s: %w", pointJSON, err)
	}
	var s Sample
	return s, json.Unmarshal(out, &s)
}
