package admin

import "github.com/savorystall/savorystall/internal/ident"

// WherePath is the URL path of a WhereQuery on the operators' port of a daemon that serves routes. The
// query is the body of a POST, since it may contain a key.
const WherePath = "/where"

// WhereQuery asks where a request would go now.
type WhereQuery struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Workspace is the workspace; if it is empty, that of Key is used.
	Workspace ident.Workspace `json:"workspace,omitempty"`
	Key       string          `json:"key,omitempty"`
	// PromptTokens and OutputTokens are the size of a request to a model.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// Prefix lists the shared parts of the prompt in order.
	Prefix []WherePart `json:"prefix,omitempty"`
}

// WherePart is a shared part of a prompt.
type WherePart struct {
	// ID is hexadecimal.
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Where is what one daemon would decide about a request now.
type Where struct {
	Route     string          `json:"route"`
	Workspace ident.Workspace `json:"workspace"`
	Services  []WhereService  `json:"services"`
}

// WhereService is one of the services among which the route divides its requests.
type WhereService struct {
	Service ident.Service `json:"service"`
	// Weight is proportional to the service's share of the requests.
	Weight float64 `json:"weight"`
	// ShareUsed is how much of its share the workspace has used; 1 is all of it, zero means unknown.
	ShareUsed float64 `json:"share_used"`
	// Refusal is the result code if no target may run the request.
	Refusal string `json:"refusal,omitempty"`
	// Targets are those that would be asked, in order, if each refused.
	Targets []WhereTarget `json:"targets"`
}

// WhereTarget is what the daemon knows about a target that would be asked.
type WhereTarget struct {
	Target ident.Target `json:"target"`
	Zone   ident.Zone   `json:"zone"`
	Owner  ident.Daemon `json:"owner"`
	// SelectedBy is the reason for the target: a home with its number, or emptiest.
	SelectedBy string `json:"selected_by"`
	// Weight is the speed of the target relative to the median of its service.
	Weight float64 `json:"weight"`
	// Decision is admits, the limit by which this daemon would refuse as the owner, or owner decides or
	// owner silent for a target of another one.
	Decision string `json:"decision"`
	// CachedTokens is how much of the prompt's prefix is known to be cached there.
	CachedTokens int `json:"cached_tokens"`
	// WaitMillis, SlotUtilization and FailureRate are the owner's view.
	WaitMillis      int64   `json:"wait_ms"`
	SlotUtilization float64 `json:"slot_utilization"`
	FailureRate     float64 `json:"failure_rate"`
	// AgeMillis is how old the owner's view is; negative if there is none.
	AgeMillis int64 `json:"age_ms"`
	// Suspended is set if the target fails, Cold if it counts as cold.
	Suspended bool `json:"suspended"`
	Cold      bool `json:"cold"`
}
