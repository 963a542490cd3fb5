// Package admin defines the types of the operators' API, which the daemon serves
// and the command-line tool uses.
package admin

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// StatusPath is the URL path of Status on a daemon's operators' port.
const StatusPath = "/admin/v1/status"

// EvacuationsPath is the URL path of the list of Evacuation on the operators' port of a daemon that
// serves routes.
const EvacuationsPath = "/evacuations"

// Evacuation is an evacuated availability zone as one daemon sees it.
type Evacuation struct {
	Zone ident.Zone `json:"zone"`
	// Since is when the daemon learned of the evacuation.
	Since time.Time `json:"since"`
}

// Status is the state of the fleet as one daemon sees it. Lists are sorted by
// their identifiers.
type Status struct {
	Daemon      ident.Daemon `json:"daemon"`
	Incarnation uint64       `json:"incarnation"`
	Zone        ident.Zone   `json:"zone"`
	// State is the state of the daemon, one of those defined in charts/daemon.yaml.
	State string `json:"state"`
	// Head is the revision up to which all configuration changes are active.
	Head uint64 `json:"head"`
	// ActiveRevisions maps each service, including deleted ones, to its active
	// revision.
	ActiveRevisions map[ident.Service]uint64 `json:"config"`
	Members         []Member                 `json:"members"`
	Queues          []Queue                  `json:"queues"`
	Targets         []Target                 `json:"targets"`
}

// States of a Member.
const (
	MemberLive    = "live"
	MemberLeaving = "leaving"
)

// Member is a live daemon of the fleet.
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
	// Waiting and Running count the requests of this daemon's callers. Waiting is
	// indexed by class: interactive, standard, batch.
	Waiting [3]int `json:"waiting"`
	Running int    `json:"running"`
	// Served is the cost of the requests served through this daemon, in units of
	// the service.
	Served float64 `json:"served"`
	Weight float64 `json:"weight"`
	// Lead is how far the virtual time of the workspace exceeds the median of the
	// backlogged workspaces in the fleet, in units divided by weight. It is zero
	// if the workspace has no backlog.
	Lead float64 `json:"lead"`
}

// Target is the state of one target as this daemon sees it.
type Target struct {
	Service ident.Service `json:"service"`
	Target  ident.Target  `json:"target"`
	Zone    ident.Zone    `json:"zone"`
	State   string        `json:"state"`
	Slots   int           `json:"slots"`
	// Running counts the grants in use if this daemon owns the target; it is zero
	// at other daemons.
	Running int `json:"running"`
	// Owner is the daemon that assigns the target's slots.
	Owner ident.Daemon `json:"owner"`
}
