package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

const (
	// statusTimeout bounds the status request to one daemon.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds the body of a status response.
	maxStatusBytes = 32 << 20
	// maxConcurrentQueries bounds the number of concurrent status requests.
	maxConcurrentQueries = 32
	// rolloutPollInterval is the pause between two queries of all daemons in
	// waitActive.
	rolloutPollInterval = 250 * time.Millisecond
	roleDaemon          = "daemon"
)

var errNoDaemon = merry.Sentinel("no daemon answers")

// daemonResponse is the status of one daemon, or the error of the request.
type daemonResponse struct {
	address string
	status  admin.Status
	err     error
}

// daemonAddresses returns the addresses of the operators' ports of all daemons:
// those given by --daemon, or else one for each live daemon in the VM list.
func (a *app) daemonAddresses(ctx context.Context) ([]string, error) {
	if len(a.options.Daemons) > 0 {
		return a.options.Daemons, nil
	}
	client, err := a.platformClient()
	if err != nil {
		return nil, err
	}
	vms, err := client.ListVMs(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "list of VMs (or name the daemons with --daemon)")
	}
	var list []string
	for _, vm := range vms {
		if vm.Role != roleDaemon || vm.State != platform.VMLive {
			continue
		}
		if host, _, err := net.SplitHostPort(vm.Address); err == nil {
			list = append(list, net.JoinHostPort(host, a.options.OperatorsPort))
		}
	}
	return list, nil
}

// queryDaemons requests the status of all daemons concurrently. The responses are
// in the order of the addresses.
func (a *app) queryDaemons(ctx context.Context) ([]daemonResponse, error) {
	return queryAll(ctx, a, func(ctx context.Context, client *http.Client, address string) daemonResponse {
		status, err := fetch[admin.Status](ctx, client, address, admin.StatusPath)
		return daemonResponse{address: address, status: status, err: withoutURL(err)}
	})
}

// queryAll calls query for all daemons concurrently. The results are in the order of the addresses.
func queryAll[T any](ctx context.Context, a *app, query func(ctx context.Context, client *http.Client, address string) T) ([]T, error) {
	addresses, err := a.daemonAddresses(ctx)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	results := make([]T, len(addresses))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i] = query(ctx, client, address)
		})
	}
	group.Wait()
	return results, nil
}

// withoutURL returns the cause of an HTTP client error without the URL, because
// the printed messages contain the daemon's address already.
func withoutURL(err error) error {
	var urlErr *url.Error
	switch {
	case !errors.As(err, &urlErr):
		return err
	case urlErr.Timeout():
		return merry.Errorf("no answer within %s", statusTimeout)
	}
	return urlErr.Err
}

// fetch reads a JSON document from the operators' port of a daemon.
func fetch[T any](ctx context.Context, client *http.Client, address, path string) (value T, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return value, err
	}
	response, err := client.Do(request)
	if err != nil {
		return value, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return value, merry.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&value)
	return value, err
}

// statuses returns the status of every daemon that responds, and prints a message
// for each of the others. It returns errNoDaemon if none responds.
func (a *app) statuses(ctx context.Context) ([]admin.Status, error) {
	responses, err := a.queryDaemons(ctx)
	if err != nil {
		return nil, err
	}
	list := []admin.Status{}
	for _, response := range responses {
		if response.err != nil {
			a.printMessage("daemon at %s does not answer: %v", response.address, response.err)
			continue
		}
		list = append(list, response.status)
	}
	if len(list) == 0 {
		return nil, errNoDaemon
	}
	return list, nil
}

// rolloutStatus counts the daemons on which a revision is active.
type rolloutStatus struct {
	active, total int
	// missing describes the daemons that do not have the revision, for messages.
	missing []string
}

// notActiveError reports an accepted change that is not active on all daemons.
type notActiveError struct {
	service  ident.Service
	revision uint64
	rollout  rolloutStatus
}

// Error implements error.
func (n *notActiveError) Error() string {
	return fmt.Sprintf("revision %d of service %s is accepted, but was not seen in force on %d of %d daemons: %s",
		n.revision, n.service, n.rollout.total-n.rollout.active, n.rollout.total, strings.Join(n.rollout.missing, "; "))
}

// waitActive polls the daemons until the revision, or a higher one of the service,
// is active on all of them.
func (a *app) waitActive(ctx context.Context, service ident.Service, revision uint64, timeout time.Duration) (rolloutStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var last rolloutStatus
	for {
		current, err := a.rolloutStatus(ctx, service, revision)
		if err == nil && ctx.Err() == nil {
			if current.active != last.active || current.total != last.total {
				a.printMessage("in force on %d of %d daemons", current.active, current.total)
			}
			last = current
			if current.total > 0 && current.active == current.total {
				return current, nil
			}
		}
		select {
		case <-ctx.Done():
			return last, a.newNotActiveError(service, revision, last, err)
		case <-time.After(rolloutPollInterval):
		}
	}
}

func (a *app) newNotActiveError(service ident.Service, revision uint64, last rolloutStatus, err error) error {
	if last.total == 0 && err == nil {
		err = errNoDaemon
	}
	if last.total == 0 {
		last.missing = []string{err.Error()}
	}
	return &notActiveError{service: service, revision: revision, rollout: last}
}

func (a *app) rolloutStatus(ctx context.Context, service ident.Service, revision uint64) (rolloutStatus, error) {
	responses, err := a.queryDaemons(ctx)
	if err != nil {
		return rolloutStatus{}, err
	}
	rollout := rolloutStatus{total: len(responses)}
	for _, response := range responses {
		active := response.status.ActiveRevisions[service]
		switch {
		case response.err != nil:
			rollout.missing = append(rollout.missing, fmt.Sprintf("%s does not answer (%v)", response.address, response.err))
		case active < revision:
			rollout.missing = append(rollout.missing, fmt.Sprintf("%s has revision %d", response.status.Daemon, active))
		default:
			rollout.active++
		}
	}
	return rollout, nil
}
