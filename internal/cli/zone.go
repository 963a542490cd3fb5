package cli

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/ident"
)

type zoneList struct{ noopCommander }

// evacuationsResponse is what one daemon knows of evacuated zones, or the error of the request.
type evacuationsResponse struct {
	address string
	list    []admin.Evacuation
	err     error
}

// zoneRow is an evacuated availability zone.
type zoneRow struct {
	Zone ident.Zone `json:"zone"`
	// Since is when the first of the daemons learned of the evacuation.
	Since time.Time `json:"since"`
	// Daemons is how many daemons know of it, Of how many answered.
	Daemons int `json:"daemons"`
	Of      int `json:"of"`
}

func (c *zoneList) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	responses, err := queryAll(ctx, a, func(ctx context.Context, client *http.Client, address string) evacuationsResponse {
		list, err := fetch[[]admin.Evacuation](ctx, client, address, admin.EvacuationsPath)
		return evacuationsResponse{address: address, list: list, err: withoutURL(err)}
	})
	if err != nil {
		return err
	}
	answered := slices.DeleteFunc(responses, func(r evacuationsResponse) bool {
		if r.err != nil {
			a.printMessage("daemon at %s does not answer: %v", r.address, r.err)
		}
		return r.err != nil
	})
	if len(answered) == 0 {
		return errNoDaemon
	}
	rows := mergeEvacuations(answered)
	t := newTable("ZONE", "EVACUATED SINCE", "KNOWN TO")
	for _, r := range rows {
		t.addRow(r.Zone, r.Since.Format(time.RFC3339), fmt.Sprintf("%d of %d daemons", r.Daemons, r.Of))
	}
	return a.printResult(rows, t)
}

// mergeEvacuations returns one row for each zone that any daemon knows to be evacuated, in order.
func mergeEvacuations(responses []evacuationsResponse) []zoneRow {
	byZone := map[ident.Zone]zoneRow{}
	for _, r := range responses {
		for _, e := range r.list {
			row, known := byZone[e.Zone]
			if !known || e.Since.Before(row.Since) {
				row.Since = e.Since
			}
			row.Zone, row.Of = e.Zone, len(responses)
			row.Daemons++
			byZone[e.Zone] = row
		}
	}
	rows := []zoneRow{}
	for _, row := range byZone {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b zoneRow) int { return cmp.Compare(a.Zone, b.Zone) })
	return rows
}
