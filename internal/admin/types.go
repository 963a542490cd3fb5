// Package admin holds the types of the operators' API, which the daemon serves
// and the command-line tool reads.
package admin

import "github.com/savorystall/savorystall/internal/ident"

// StatusPath is the path of a daemon's Status on its operators' port.
const StatusPath = "/admin/v1/status"

// Status is what one daemon knows. Lists are sorted by their identifiers.
type Status struct {
	Daemon      ident.Daemon `json:"daemon"`
	Incarnation uint64       `json:"incarnation"`
	Zone        ident.Zone   `json:"zone"`
	// State is a state of charts/daemon.yaml.
	State string `json:"state"`
	// Head is the revision up to which the configuration is in force.
	Head uint64 `json:"head"`
	// Config holds the revision in force of each service, deletions included.
	Config  map[ident.Service]uint64 `json:"config"`
	Members []Member                 `json:"members"`
	Queues  []Queue                  `json:"queues"`
	Targets []Target                 `json:"targets"`
}

// States of a Member.
const (
	MemberLive    = "live"
	MemberLeaving = "leaving"
)

// Member is a live daemon.
type Member struct {
	ID          ident.Daemon `json:"id"`
	Zone        ident.Zone   `json:"zone"`
	Incarnation uint64       `json:"incarnation"`
	State       string       `json:"state"`
}

// Queue is the state of one workspace of one service at this daemon.
type Queue struct {
	Service   ident.Service   `json:"service"`
	Workspace ident.Workspace `json:"workspace"`
	// Waiting and Running count the requests of this daemon's callers, Waiting
	// by class: interactive, standard, batch.
	Waiting [3]int `json:"waiting"`
	Running int    `json:"running"`
	// Served is the service delivered through this daemon, in units.
	Served float64 `json:"served"`
	Weight float64 `json:"weight"`
	// Lead is the workspace's virtual time over the median of the backlogged
	// ones in the fleet, in units over weight; zero where it has no backlog.
	Lead float64 `json:"lead"`
}

// Target is the state of one target as this daemon knows it.
type Target struct {
	Service ident.Service `json:"service"`
	Target  ident.Target  `json:"target"`
	Zone    ident.Zone    `json:"zone"`
	State   string        `json:"state"`
	Slots   int           `json:"slots"`
	// Running counts this owner's grants in use; zero at other daemons.
	Running int `json:"running"`
	// Owner is the daemon that grants the target's slots.
	Owner ident.Daemon `json:"owner"`
}
