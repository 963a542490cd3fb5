// Package settings reads the settings of one daemon: a YAML file, overridden by
// environment variables, overridden by flags. Settings apply to one process and
// take effect at a restart; services are configured in their documents.
package settings

import (
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/savorystall/savorystall/internal/ident"
)

// Settings is the content of the settings file.
type Settings struct {
	// Daemon is the name of this daemon, unique in the fleet. Required.
	Daemon ident.Daemon `yaml:"daemon" validate:"required,max=64"`
	// Zone is the availability zone of this VM. Required.
	Zone ident.Zone `yaml:"zone" validate:"required,max=64"`
	// Regions maps the availability zones to their regions. It is needed where routes or
	// workspaces are limited to regions: a zone that is not listed is in none. Default none.
	Regions map[ident.Zone]ident.Region `yaml:"regions"`
	// Callers is the listener for callers.
	Callers Callers `yaml:"callers"`
	// Operators is the listener for health, metrics and the admin API.
	Operators Listener `yaml:"operators"`
	// Readiness is a listener that reports only whether the daemon accepts new
	// connections. Default none; the operators' listener reports that as well.
	Readiness Readiness `yaml:"readiness"`
	// Fleet configures the listener for other daemons and the links to them.
	Fleet Fleet `yaml:"fleet"`
	// Platform configures access to the platform's services.
	Platform Platform `yaml:"platform"`
	// Stop configures the graceful shutdown.
	Stop Stop `yaml:"stop"`
	// Claims configures the handling of unrepeatable requests.
	Claims Claims `yaml:"claims"`
	// Orders configures the leases under which orders are sent to targets.
	Orders Orders `yaml:"orders"`
	// Routing configures the handling of routes, if the platform's binding is
	// routes.
	Routing Routing `yaml:"routing"`
	// Memory holds the resource limits of the process.
	Memory Memory `yaml:"memory"`
	// Log configures logging.
	Log Log `yaml:"log"`
	// Trace configures the export of spans.
	Trace Trace `yaml:"trace"`
}

// Listener is a TCP listener.
type Listener struct {
	// Listen is host:port with an IP address; port 0 selects a free port.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
}

// Readiness is a listener for the platform's load balancer.
type Readiness struct {
	// Listen is host:port with an IP address. Default none.
	Listen string `yaml:"listen" validate:"omitempty,hostname_port|tcp_addr"`
}

// Bindings of the platform.
const (
	// BindingDocuments reads one document per service through the HTTP binding that
	// this project defines (docs/PLATFORM-API.md).
	BindingDocuments = "documents"
	// BindingRoutes reads all routes as one document, and the entries of targets that
	// register themselves, from the users' platform.
	BindingRoutes = "routes"
)

// Routing configures the handling of routes.
type Routing struct {
	// RepeatRatio and RepeatBurst limit the retries per service and RepeatWindow in
	// the whole fleet to RepeatRatio times the number of requests plus RepeatBurst.
	// The first attempt of a request is not a retry. Defaults 0.1, 20 and 10s.
	RepeatRatio  float64       `yaml:"repeat_ratio" validate:"min=0,max=1"`
	RepeatBurst  float64       `yaml:"repeat_burst" validate:"min=0"`
	RepeatWindow time.Duration `yaml:"repeat_window" validate:"min=100000000"`
	// InTouch is the time within which a daemon must follow the store again after
	// an outage of the store. Default 3s.
	InTouch time.Duration `yaml:"in_touch" validate:"min=1000000000"`
	// ApplyWithin is the time within which a change of the routes is in force on every daemon. One that
	// cannot know of a change in time, for reasons of its own, refuses requests. Default 3s.
	ApplyWithin time.Duration `yaml:"apply_within" validate:"min=1000000000"`
	// ConnectionShare is how many daemons may open connections to one target: each
	// of them uses one part in ConnectionShare of the connections that the target
	// accepts. Default 8.
	ConnectionShare int `yaml:"connection_share" validate:"min=1"`
	// ColdFactor and ColdBurst bound what all daemons together send to a cold target in one
	// second: ColdFactor times the rate that it tolerates plus ColdBurst. Defaults 1 and 0.
	ColdFactor float64 `yaml:"cold_factor" validate:"min=0"`
	ColdBurst  float64 `yaml:"cold_burst" validate:"min=0"`
	// CopyFromDraining lets targets copy cached prefixes of prompts from targets that are draining.
	// Default false.
	CopyFromDraining bool `yaml:"copy_from_draining"`
	// WarmthChecks makes the owner of a busy target check the target's health a few times a second: a
	// response without cold time proves that more requests may be sent to it. Only targets of services
	// that state a rate for cold targets and a health path are checked. Default false.
	WarmthChecks bool `yaml:"warmth_checks"`
	// TargetSpeeds enables the estimation of the speeds of targets. Targets that differ from the median
	// of their service by more than a third then get requests in proportion to their speed. Default
	// false.
	TargetSpeeds bool `yaml:"target_speeds"`
	// SlotWait is the longest time for which a request may wait for a slot or memory of a target
	// if it can then still be in time; 0 refuses it at once. Default 0.
	SlotWait time.Duration `yaml:"slot_wait" validate:"min=0,max=2000000000"`
	// DerivedRetryAfter tells refused callers to retry when targets are expected to have spare
	// capacity, and not within 0.4 to 1.6 s. Default false.
	DerivedRetryAfter bool `yaml:"derived_retry_after"`
}

// Memory holds the resource limits of the process.
type Memory struct {
	// Descriptors is how many files and sockets the process may have open; zero
	// means no limit. When serving routes, callers' connections use at most half of
	// them, and at most four per MB of Limit; above that, the connection that has
	// been idle for longest is closed.
	// Default 0.
	Descriptors int `yaml:"descriptors" validate:"min=0"`
	// Limit is the memory that the VM provides to the process, in MB; zero means no
	// limit. The garbage collector runs more often as usage approaches the limit.
	// Default 0.
	Limit int `yaml:"limit" validate:"min=0"`
	// SlowCallers is the fraction of Limit that callers which read or send slowly may
	// occupy when serving routes, socket buffers included. Above it, those that are slowest
	// are disconnected, first those of the workspace that occupies most, of which each may
	// occupy half of it. Socket buffers then have fixed sizes. Zero means no limit.
	// Default 0.
	SlowCallers float64 `yaml:"slow_callers" validate:"min=0,max=1"`
}

// Callers is the listener for callers and the limits on their requests.
type Callers struct {
	// Listen is host:port with an IP address. Default 127.0.0.1:8080.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
	// HeaderBytes limits the size of a request's headers. Default 32768.
	HeaderBytes int `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	// HeaderTimeout limits the time to receive the headers. Default 10s.
	HeaderTimeout time.Duration `yaml:"header_timeout" validate:"min=100000000"`
	// BodyTimeout limits the time to receive the body. Default 30s.
	BodyTimeout time.Duration `yaml:"body_timeout" validate:"min=100000000"`
	// IdleTimeout is how long an idle connection is kept open when serving routes;
	// a slightly shorter time is announced to callers. Default 5s.
	IdleTimeout time.Duration `yaml:"idle_timeout" validate:"min=1000000000"`
	// StallTimeout is how long a caller may take none of its response when serving routes
	// before it is disconnected. It is to be shorter than the time after which targets cut
	// off an unread response. Zero means no limit. Default 0.
	StallTimeout time.Duration `yaml:"stall_timeout" validate:"omitempty,min=500000000"`
}

// Fleet configures the listener for other daemons and the links to them.
type Fleet struct {
	// Listen is host:port with an IP address. Default 127.0.0.1:8082.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
	// Advertise is the address that other daemons dial. Default: Listen.
	Advertise string `yaml:"advertise" validate:"omitempty,hostname_port|tcp_addr"`
	// Handover is the listener, host:port with an IP address, on which this daemon takes
	// over callers' connections from daemons of the same availability zone that are
	// short of processor time, when serving routes; none disables it. Default: the host
	// of Listen and the next port, or a free port if that one is in use.
	Handover string `yaml:"handover" validate:"omitempty,eq=none|hostname_port|tcp_addr"`
	// Spread makes this daemon forward new connections to neighbours in its availability
	// zone before it has to refuse any, and prefer neighbours that reply fast, when serving
	// routes. It is for zones whose VMs differ in size or get callers unevenly. Default
	// false: connections are forwarded once some are refused or sixteen are unread.
	Spread bool `yaml:"spread"`
	// Seeds are daemons to connect to before the VM list has been read for the first
	// time; a daemon that starts during an outage of the platform obtains the
	// configuration from them. Default none.
	Seeds []Seed `yaml:"seeds" validate:"dive"`
	// Heartbeat is the interval of heartbeats on an idle link. Default 1s.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=50000000"`
	// TLS holds the files for mutual TLS. Without them links are not encrypted, and
	// a warning is logged at startup.
	TLS *TLS `yaml:"tls"`
}

// Seed is a daemon that can be reached without the VM list.
type Seed struct {
	// Daemon is the name of the daemon.
	Daemon ident.Daemon `yaml:"daemon" validate:"required,max=64"`
	// Address is the address of its fleet listener, host:port with an IP address.
	Address string `yaml:"address" validate:"required,hostname_port|tcp_addr"`
}

// TLS holds the files of the daemon's certificate and of the authority that issues
// the certificates of its peers.
type TLS struct {
	// Certificate is a PEM file with this daemon's certificate.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is a PEM file with the certificate's private key.
	Key string `yaml:"key" validate:"required"`
	// Authority is a PEM file with the certificate authority of all daemons.
	Authority string `yaml:"authority" validate:"required"`
}

// Platform configures access to the platform's services.
type Platform struct {
	// URL is the base URL of the platform's HTTP binding.
	URL string `yaml:"url" validate:"required,url"`
	// ConfigPoll is the interval at which the head row is read. Default 1s.
	ConfigPoll time.Duration `yaml:"config_poll" validate:"min=50000000"`
	// VMPoll is the interval at which the VM list is read. Default 1s.
	VMPoll time.Duration `yaml:"vm_poll" validate:"min=50000000"`
	// Binding is documents or routes. Default documents.
	Binding string `yaml:"binding" validate:"oneof=documents routes"`
	// Timeout limits the duration of one call. Default 2s.
	Timeout time.Duration `yaml:"timeout" validate:"min=10000000"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// BalancerLag is the time that the load balancer needs to notice that readiness
	// fails. Requests are still accepted during that time. Default 5s.
	BalancerLag time.Duration `yaml:"balancer_lag" validate:"min=0"`
	// Grace is the time from SIGTERM until the platform kills the process. Where routes are served, requests
	// that cannot be completed within it are refused or ended in time. Default 0, which means unknown.
	Grace time.Duration `yaml:"grace" validate:"min=0"`
	// WarnAfter is the time after which a drain that is still waiting is logged.
	// Default 60s.
	WarnAfter time.Duration `yaml:"warn_after" validate:"min=0"`
}

// Claims configures the handling of unrepeatable requests.
type Claims struct {
	// Wait is how long a request waits for the platform's table before it is
	// refused without having run. Default 5s.
	Wait time.Duration `yaml:"wait" validate:"min=0"`
}

// Orders configures the leases under which orders are sent to targets.
type Orders struct {
	// LeaseTerm is how long a lease lasts without renewal, and the minimum time for
	// which a new holder waits for the previous one. Default 20s.
	LeaseTerm time.Duration `yaml:"lease_term" validate:"min=1000000000"`
	// ReadBack is the mean interval at which a target's state is read. Default 10s.
	ReadBack time.Duration `yaml:"read_back" validate:"min=100000000"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Output is stderr or stdout. Default stderr.
	Output string `yaml:"output" validate:"oneof=stderr stdout"`
}

// Trace configures the export of spans.
type Trace struct {
	// OTLP is the URL of an OTLP/HTTP collector. Default none.
	OTLP string `yaml:"otlp" validate:"omitempty,url"`
	// File is a file to which spans are appended as JSON. Default none.
	File string `yaml:"file"`
	// Sample is the fraction of requests without a sampled parent that are
	// traced, from 0 to 1. Default 0.01.
	Sample float64 `yaml:"sample" validate:"min=0,max=1"`
}

// Defaults returns the settings that apply unless the file specifies others.
func Defaults() Settings {
	return Settings{
		Callers: Callers{
			Listen:        "127.0.0.1:8080",
			HeaderBytes:   32 << 10,
			HeaderTimeout: 10 * time.Second,
			BodyTimeout:   30 * time.Second,
			IdleTimeout:   5 * time.Second,
		},
		Operators: Listener{Listen: "127.0.0.1:8081"},
		Fleet:     Fleet{Listen: "127.0.0.1:8082", Heartbeat: time.Second},
		Routing:   Routing{RepeatRatio: 0.1, RepeatBurst: 20, RepeatWindow: 10 * time.Second, InTouch: 3 * time.Second, ApplyWithin: 3 * time.Second, ConnectionShare: 8, ColdFactor: 1},
		Platform:  Platform{Binding: BindingDocuments, ConfigPoll: time.Second, VMPoll: time.Second, Timeout: 2 * time.Second},
		Stop:      Stop{BalancerLag: 5 * time.Second, WarnAfter: time.Minute},
		Claims:    Claims{Wait: 5 * time.Second},
		Orders:    Orders{LeaseTerm: 20 * time.Second, ReadBack: 10 * time.Second},
		Log:       Log{Level: "info", Output: "stderr"},
		Trace:     Trace{Sample: 0.01},
	}
}

// ephemeralPortSuffix ends the address of a listener whose port the operating system
// selects, so that the port is known only once the listener is open.
const ephemeralPortSuffix = ":0"

// HandoverNone is the value of Fleet.Handover that disables taking over connections.
const HandoverNone = "none"

// Override changes settings after the file has been read.
type Override func(*Settings)

// Load reads the settings file and applies the overrides in order. With an empty
// path, no file is read.
func Load(path string, overrides ...Override) (Settings, error) {
	var text []byte
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return Settings{}, merry.Prepend(err, "settings")
		}
	}
	s, err := Parse(text, overrides...)
	if err != nil {
		return Settings{}, merry.Prependf(err, "settings %s", path)
	}
	return s, nil
}

// Parse decodes settings from YAML and applies the overrides in order. Unknown
// fields and values out of range are errors that contain the field's name.
func Parse(text []byte, overrides ...Override) (Settings, error) {
	s := Defaults()
	if len(text) > 0 {
		if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
			return Settings{}, merry.Wrap(err)
		}
	}
	for _, override := range overrides {
		override(&s)
	}
	if s.Fleet.Advertise == "" && !strings.HasSuffix(s.Fleet.Listen, ephemeralPortSuffix) {
		s.Fleet.Advertise = s.Fleet.Listen
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(s); err != nil {
		return Settings{}, merry.Wrap(err)
	}
	return s, nil
}

// DefaultHandover returns the addresses to try, in order, if the settings do not specify
// Handover: the port after that of Listen, then any free port.
func (f Fleet) DefaultHandover() []string {
	host, text, err := net.SplitHostPort(f.Listen)
	if err != nil {
		return nil // Parse has already validated Listen
	}
	ephemeral := net.JoinHostPort(host, "0")
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil || port == 0 || port == math.MaxUint16 {
		return []string{ephemeral}
	}
	return []string{net.JoinHostPort(host, strconv.FormatUint(port+1, 10)), ephemeral}
}
