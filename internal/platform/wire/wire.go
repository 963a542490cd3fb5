// Package wire defines the JSON bodies of the platform's HTTP API, which is
// published in docs/PLATFORM-API.md. The client and the in-memory test server
// share them.
package wire

// Paths of the API.
const (
	PathCommit  = "/v1/table/commit"
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
	PathWeights = "/v1/weights/"
)

// Row is one row of the table. Revisions are JSON strings because JSON numbers
// lose precision above 2^53; values are base64.
type Row struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision,string"`
	Operation string `json:"operation,omitempty"`
}

// Condition requires a row to have a revision; zero requires it not to exist.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision,string"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// TTLMillis is the time to live in milliseconds; zero means that the row does
	// not expire.
	TTLMillis int64 `json:"ttl_ms,omitempty"`
}

// Commit is the request body of PathCommit.
type Commit struct {
	Operation  string      `json:"operation"`
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// Committed is the response to a commit that took effect (200).
type Committed struct {
	Revision uint64 `json:"revision,string"`
}

// Conflict is the response to a commit whose conditions do not hold (409). Rows
// contains the current row of each such condition, with revision zero if the row
// does not exist.
type Conflict struct {
	Rows []Row `json:"rows"`
}

// Get is the request body of PathGet.
type Get struct {
	Keys []string `json:"keys"`
}

// Rows is the response of PathGet and PathScan.
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

// VMs is the response of PathVMs.
type VMs struct {
	VMs []VM `json:"vms"`
}

// FetchReply is the response of PathWeights: how long the caller has to wait due
// to the rate limit of the store.
type FetchReply struct {
	WaitMillis int64 `json:"wait_ms"`
}
