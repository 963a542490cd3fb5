package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// publicRequests is the number of requests without a key.
	publicRequests = 20
	// publicInterval is the time between two of them.
	publicInterval = 50 * time.Millisecond
	// newTenant is the tenant that a change of the configuration adds.
	newTenant = "public"
)

// foreignTenant: clients without a key use a public route. With trouble, a change of the configuration adds a
// tenant before. The rule is broken if an engine runs a request without a key as one of that tenant, which holds a
// key of its own.
func foreignTenant(f *fixture, trouble bool) error {
	var mu sync.Mutex
	tenants := map[string]string{} // by attempt ID, of the requests that ran
	_, err := f.startEngine("i-7f3a91c2", "hall-a", 6, func(c *engineConn, r *http.Request, _ []byte) {
		id, tenant := r.Header.Get("Attempt-Id"), r.Header.Get("Tenant")
		mu.Lock()
		tenants[id] = tenant
		mu.Unlock()
		c.engine.rec.line("engine %s runs %s with the tenant %q", c.engine.id, id, tenant)
		c.answer(r, http.StatusOK, stamp, []byte("case status"))
	})
	if err != nil {
		return err
	}
	route := map[string]any{"name": "r-tdhbjph", "host": host, "prefix": prefix, "kind": "idempotent", "timeout_ms": 1500, "goal_ms": 300, "priority": 2, "service": service, "attempts": 2, "public": true, "sticky": false, "resumable": false}
	plain := map[string]any{"name": service, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}
	known := map[string]any{"name": workspace, "api_keys": []string{key}, "priority": 1}
	f.configureTenants(7, route, plain, known)
	d, err := f.startDaemon("edge-hall-a-1", "hall-a")
	if err != nil {
		return err
	}
	configured := map[string]bool{workspace: true}
	if trouble {
		configured[newTenant] = true
		f.configureTenants(9, route, plain, known, map[string]any{"name": newTenant, "api_keys": []string{"k7b2ex5wa5xwyhks8nbk"}, "priority": 1})
	}
	time.Sleep(3 * time.Second)
	served, foreign := 0, 0
	for i := range publicRequests {
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		r := f.send(d, http.MethodGet, id, nil, 1500*time.Millisecond, map[string]string{"Authorization": ""})
		if r.status == http.StatusOK {
			served++
		}
		mu.Lock()
		if configured[tenants[id]] {
			foreign++
		}
		mu.Unlock()
		time.Sleep(publicInterval)
	}
	f.rec.line("%d requests without a key served, %d of them as the tenant %q, which holds another key", served, foreign, newTenant)
	if foreign > 0 {
		return fmt.Errorf("%w: %d requests without a key ran as those of the tenant %q", errBroken, foreign, newTenant)
	}
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
