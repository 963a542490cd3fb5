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
	// statusTimeout bounds one daemon's answer.
	statusTimeout = 2 * time.Second
	// statusBytes bounds a daemon's answer.
	statusBytes = 32 << 20
	// askAtOnce bounds the daemons that are asked at the same time.
	askAtOnce = 32
	// inForcePause is the wait between two rounds of questions.
	inForcePause = 250 * time.Millisecond
	roleDaemon   = "daemon"
)

var errNoDaemon = merry.Sentinel("no daemon answers")

// answer is what one daemon said, or why it did not.
type answer struct {
	address string
	status  admin.Status
	err     error
}

// addresses returns the operators' ports of all daemons: those of --daemon,
// else one for each daemon of the VM list that is live.
func (a *app) addresses(ctx context.Context) ([]string, error) {
	if len(a.options.Daemons) > 0 {
		return a.options.Daemons, nil
	}
	client, err := a.platform()
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
			list = append(list, net.JoinHostPort(host, a.options.Port))
		}
	}
	return list, nil
}

// ask asks all daemons for their status at once. The answers are in the order
// of the addresses.
func (a *app) ask(ctx context.Context) ([]answer, error) {
	addresses, err := a.addresses(ctx)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answers := make([]answer, len(addresses))
	slots := make(chan struct{}, askAtOnce)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			status, err := fetchStatus(ctx, client, address)
			answers[i] = answer{address: address, status: status, err: reason(err)}
		})
	}
	group.Wait()
	return answers, nil
}

// reason returns an error without the URL, which the operator knows.
func reason(err error) error {
	var failed *url.Error
	switch {
	case !errors.As(err, &failed):
		return err
	case failed.Timeout():
		return merry.Errorf("no answer within %s", statusTimeout)
	}
	return failed.Err
}

func fetchStatus(ctx context.Context, client *http.Client, address string) (admin.Status, error) {
	var status admin.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+admin.StatusPath, nil)
	if err != nil {
		return status, err
	}
	response, err := client.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, merry.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, statusBytes)).Decode(&status)
	return status, err
}

// statuses returns the status of every daemon that answers, and names the
// others to the operator. It fails where none answers.
func (a *app) statuses(ctx context.Context) ([]admin.Status, error) {
	answers, err := a.ask(ctx)
	if err != nil {
		return nil, err
	}
	list := []admin.Status{}
	for _, one := range answers {
		if one.err != nil {
			a.say("daemon at %s does not answer: %v", one.address, one.err)
			continue
		}
		list = append(list, one.status)
	}
	if len(list) == 0 {
		return nil, errNoDaemon
	}
	return list, nil
}

// reach is on how many daemons a revision is in force.
type reach struct {
	inForce, daemons int
	// missing names the daemons without it, for people.
	missing []string
}

// notInForce is the error of an accepted change that some daemons do not have.
type notInForce struct {
	service  ident.Service
	revision uint64
	reach    reach
}

// Error implements error.
func (n *notInForce) Error() string {
	return fmt.Sprintf("revision %d of service %s is accepted, but was not seen in force on %d of %d daemons: %s",
		n.revision, n.service, n.reach.daemons-n.reach.inForce, n.reach.daemons, strings.Join(n.reach.missing, "; "))
}

// waitInForce asks the daemons until each has the revision, or a higher one of
// the service, in force.
func (a *app) waitInForce(ctx context.Context, service ident.Service, revision uint64, bound time.Duration) (reach, error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	var last reach
	for {
		now, err := a.reach(ctx, service, revision)
		if err == nil && ctx.Err() == nil {
			if now.inForce != last.inForce || now.daemons != last.daemons {
				a.say("in force on %d of %d daemons", now.inForce, now.daemons)
			}
			last = now
			if now.daemons > 0 && now.inForce == now.daemons {
				return now, nil
			}
		}
		select {
		case <-ctx.Done():
			return last, a.notInForce(service, revision, last, err)
		case <-time.After(inForcePause):
		}
	}
}

func (a *app) notInForce(service ident.Service, revision uint64, last reach, err error) error {
	if last.daemons == 0 && err == nil {
		err = errNoDaemon
	}
	if last.daemons == 0 {
		last.missing = []string{err.Error()}
	}
	return &notInForce{service: service, revision: revision, reach: last}
}

func (a *app) reach(ctx context.Context, service ident.Service, revision uint64) (reach, error) {
	answers, err := a.ask(ctx)
	if err != nil {
		return reach{}, err
	}
	r := reach{daemons: len(answers)}
	for _, one := range answers {
		has := one.status.Config[service]
		switch {
		case one.err != nil:
			r.missing = append(r.missing, fmt.Sprintf("%s does not answer (%v)", one.address, one.err))
		case has < revision:
			r.missing = append(r.missing, fmt.Sprintf("%s has revision %d", one.status.Daemon, has))
		default:
			r.inForce++
		}
	}
	return r, nil
}
