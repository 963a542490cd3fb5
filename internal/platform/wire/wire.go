// Package wire holds the JSON bodies of the platform's HTTP binding, which
// docs/PLATFORM-API.md publishes. Client and stand-in share them.
package wire

// Paths of the binding.
const (
	PathCommit  = "/v1/table/commit"
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
	PathWeights = "/v1/weights/"
)

// Row is one row of the table. Revisions are JSON strings because JSON numbers
// lose bits above 2^53; values are base64.
type Row struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision,string"`
	Operation string `json:"operation,omitempty"`
}

// Condition requires a revision of a row; zero requires that it is absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision,string"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// TTLMillis is in milliseconds; zero keeps the row for good.
	TTLMillis int64 `json:"ttl_ms,omitempty"`
}

// Commit is the body of PathCommit.
type Commit struct {
	Operation  string      `json:"operation"`
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// Committed answers a commit that took effect (200).
type Committed struct {
	Revision uint64 `json:"revision,string"`
}

// Conflict answers a commit whose conditions do not hold (409). Rows holds the
// present row of each such condition; an absent one has revision zero.
type Conflict struct {
	Rows []Row `json:"rows"`
}

// Get is the body of PathGet.
type Get struct {
	Keys []string `json:"keys"`
}

// Rows answers PathGet and PathScan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// VM is one entry of the list of VMs.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Role    string `json:"role"`
	State   string `json:"state"`
}

// VMs answers PathVMs.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Fetch answers PathWeights: how long the store's rate limit makes the caller
// wait.
type Fetch struct {
	WaitMillis int64 `json:"wait_ms"`
}
