package daemon

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/region"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
)

// maxWhereBytes bounds the body of a query.
const maxWhereBytes = 64 << 10

// where returns where a request would go now. It sends nothing and changes no state.
func (o *routedOperators) where(w http.ResponseWriter, r *http.Request) {
	var q admin.WhereQuery
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWhereBytes)).Decode(&q); err != nil {
		http.Error(w, "the query cannot be decoded", http.StatusBadRequest)
		return
	}
	request, ok := whereRequest(q)
	if !ok {
		http.Error(w, "the ID of a part is not hexadecimal, or a number of tokens is negative", http.StatusBadRequest)
		return
	}
	table := o.routes.Current()
	if table == nil {
		http.Error(w, "no routes are in force", http.StatusServiceUnavailable)
		return
	}
	found, ok := table.Find(q.Host, q.Path)
	if !ok {
		http.Error(w, "no route", http.StatusNotFound)
		return
	}
	var failure *resultcode.Failure
	if request.Workspace, request.Regions, failure = whereWorkspace(table, found, q); failure != nil {
		http.Error(w, failure.Code.Name, http.StatusForbidden)
		return
	}
	answer := admin.Where{Route: found.Name, Workspace: request.Workspace, Services: []admin.WhereService{}}
	ok = o.loop.Inspect(func(core *booking.Core) {
		now := time.Now()
		request.Deadline = now.Add(found.Objective)
		for _, s := range found.Services {
			answer.Services = append(answer.Services, whereService(core, now, table, s, request))
		}
	})
	if !ok {
		http.Error(w, "the daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}

// whereRequest returns the request that a query describes. The rest of the prompt is a part that no other
// request has.
func whereRequest(q admin.WhereQuery) (r booking.Request, ok bool) {
	r = booking.Request{Prompt: q.PromptTokens, Output: q.OutputTokens}
	rest := q.PromptTokens
	for _, p := range q.Prefix {
		id, err := strconv.ParseUint(p.ID, 16, 64)
		if err != nil || p.Tokens < 0 {
			return r, false
		}
		r.Parts = append(r.Parts, booking.PromptPart{ID: id, Tokens: p.Tokens})
		rest -= p.Tokens
	}
	if len(r.Parts) > 0 {
		r.Parts = append(r.Parts, booking.PromptPart{ID: math.MaxUint64, Tokens: max(0, rest)})
	}
	return r, q.PromptTokens >= 0 && q.OutputTokens >= 0
}

// whereWorkspace returns the workspace of a query and the regions in which its requests may run.
func whereWorkspace(table *route.Table, found *route.Route, q admin.WhereQuery) (name ident.Workspace, regions region.Set, failure *resultcode.Failure) {
	if q.Workspace == "" {
		name, failure = table.Identify(found, q.Key)
		return name, table.AllowedRegions(found, q.Key), failure
	}
	i := slices.IndexFunc(table.Workspaces, func(w route.Workspace) bool { return w.Name == q.Workspace })
	if i < 0 {
		return "", regions, resultcode.Fail(resultcode.Unauthenticated, "")
	}
	return q.Workspace, found.Regions.Intersect(table.Workspaces[i].Regions), nil
}

func whereService(core *booking.Core, now time.Time, table *route.Table, s route.WeightedService, request booking.Request) admin.WhereService {
	request.Service = s.Service
	if spec, known := table.Service(s.Service); !known || !spec.ServesModel {
		request.Prompt, request.Output, request.Parts = 0, 0, nil
	}
	f := core.Forecast(now, request)
	view := admin.WhereService{Service: s.Service, Weight: s.Weight, ShareUsed: f.ShareUsed, Refusal: f.Refusal, Targets: []admin.WhereTarget{}}
	for _, t := range f.Targets {
		age := t.LoadAge.Milliseconds()
		if t.LoadAge < 0 {
			age = -1
		}
		view.Targets = append(view.Targets, admin.WhereTarget{
			Target: t.Target, Zone: t.Zone, Owner: t.Owner, SelectedBy: t.SelectedBy, Weight: t.Weight, Decision: whereDecision(t), CachedTokens: t.CachedTokens,
			WaitMillis: t.Load.Wait.Milliseconds(), SlotUtilization: t.Load.SlotUtilization, FailureRate: t.Load.FailureRate, AgeMillis: age,
			Suspended: t.Suspended, Cold: t.Cold,
		})
	}
	return view
}

func whereDecision(t booking.TargetForecast) string {
	switch {
	case t.Owned && t.Admits:
		return "admits"
	case t.Owned:
		return t.Limit.String()
	case t.OwnerSilent:
		return "owner silent"
	}
	return "owner decides"
}
