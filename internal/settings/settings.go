// Package settings reads the settings of one daemon: a YAML file, overridden by
// environment variables, overridden by flags. Settings belong to one process
// and need a restart to change; what a service does stands in its document.
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

// Settings is the whole file.
type Settings struct {
	// Daemon is the name of this daemon, unique in the fleet. Required.
	Daemon ident.Daemon `yaml:"daemon" validate:"required,max=64"`
	// Zone is the availability zone of this VM. Required.
	Zone ident.Zone `yaml:"zone" validate:"required,max=64"`
	// Callers is the listener for callers.
	Callers Callers `yaml:"callers"`
	// Operators is the listener for health, metrics and the admin API.
	Operators Listener `yaml:"operators"`
	// Readiness is a listener that answers only whether the daemon takes new
	// connections. Default none; the operators' listener answers that as well.
	Readiness Readiness `yaml:"readiness"`
	// Fleet is the listener and the links between daemons.
	Fleet Fleet `yaml:"fleet"`
	// Platform says where the platform's services are.
	Platform Platform `yaml:"platform"`
	// Stop bounds a planned stop.
	Stop Stop `yaml:"stop"`
	// Claims bounds the handling of unrepeatable requests.
	Claims Claims `yaml:"claims"`
	// Orders bounds the leases under which targets get orders.
	Orders Orders `yaml:"orders"`
	// Routing bounds what is done for routes, where the platform's binding is
	// routes.
	Routing Routing `yaml:"routing"`
	// Memory bounds the process.
	Memory Memory `yaml:"memory"`
	// Log says what is logged.
	Log Log `yaml:"log"`
	// Trace says where spans go.
	Trace Trace `yaml:"trace"`
}

// Listener is a TCP listener.
type Listener struct {
	// Listen is host:port with an IP number; port 0 takes a free port.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
}

// Readiness is a listener for the platform's balancer.
type Readiness struct {
	// Listen is host:port with an IP number. Default none.
	Listen string `yaml:"listen" validate:"omitempty,hostname_port|tcp_addr"`
}

// Bindings of the platform.
const (
	// BindingDocuments reads one document a service from the product's own HTTP
	// binding (docs/PLATFORM-API.md).
	BindingDocuments = "documents"
	// BindingRoutes reads routes as one document, and targets that register
	// themselves, from the users' platform.
	BindingRoutes = "routes"
)

// Routing bounds what is done for routes.
type Routing struct {
	// RepeatRatio and RepeatBurst bound the attempts after the first one of each
	// request, to each service and in each RepeatWindow, over the whole fleet: the
	// ratio of the requests, and the burst more. Defaults 0.1, 20 and 10s.
	RepeatRatio  float64       `yaml:"repeat_ratio" validate:"min=0,max=1"`
	RepeatBurst  float64       `yaml:"repeat_burst" validate:"min=0"`
	RepeatWindow time.Duration `yaml:"repeat_window" validate:"min=100000000"`
	// InTouch is how long after an outage of the store a daemon has to follow it
	// again. Default 3s.
	InTouch time.Duration `yaml:"in_touch" validate:"min=1000000000"`
	// ConnectionShare is how many daemons may open connections to one target: each
	// uses that part of what the target accepts. Default 8.
	ConnectionShare int `yaml:"connection_share" validate:"min=1"`
}

// Memory bounds the process.
type Memory struct {
	// Descriptors is how many files and sockets the process may have open; zero
	// means no bound. Where routes are served, callers' connections take half of
	// them at most, and four for each MB; beyond it, the one that is unused for
	// longest is closed.
	// Default 0.
	Descriptors int `yaml:"descriptors" validate:"min=0"`
	// Limit is what the VM gives the process, in MB; zero means no bound. The
	// garbage collector then works harder as it comes near. Default 0.
	Limit int `yaml:"limit" validate:"min=0"`
}

// Callers is the listener for callers and the bounds on what they send.
type Callers struct {
	// Listen is host:port with an IP number. Default 127.0.0.1:8080.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
	// HeaderBytes bounds the headers of a request. Default 32768.
	HeaderBytes int `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	// HeaderTimeout bounds the arrival of the headers. Default 10s.
	HeaderTimeout time.Duration `yaml:"header_timeout" validate:"min=100000000"`
	// BodyTimeout bounds the arrival of the body. Default 30s.
	BodyTimeout time.Duration `yaml:"body_timeout" validate:"min=100000000"`
	// IdleTimeout is how long an unused connection is kept where routes are
	// served; callers are told a little less. Default 5s.
	IdleTimeout time.Duration `yaml:"idle_timeout" validate:"min=1000000000"`
}

// Fleet is the listener for other daemons.
type Fleet struct {
	// Listen is host:port with an IP number. Default 127.0.0.1:8082.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
	// Advertise is the address that other daemons dial. Default: Listen.
	Advertise string `yaml:"advertise" validate:"omitempty,hostname_port|tcp_addr"`
	// Handover is the listener, host:port with an IP number, on which connections of callers
	// are taken over from daemons of the availability zone that are short of processor
	// time, where routes are served; none: they are not. Default: the host of Listen
	// and its next port, or any where that is taken.
	Handover string `yaml:"handover" validate:"omitempty,eq=none|hostname_port|tcp_addr"`
	// Seeds are daemons to link to before the VM list was read for the first
	// time; a daemon that starts while the platform is out learns the
	// configuration from them. Default none.
	Seeds []Seed `yaml:"seeds" validate:"dive"`
	// Heartbeat is the interval of heartbeats on an idle link. Default 1s.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=50000000"`
	// TLS holds the files of mutual TLS. Without them links are in the clear
	// and a warning is logged at start.
	TLS *TLS `yaml:"tls"`
}

// Seed is a daemon that is known without the VM list.
type Seed struct {
	// Daemon is its name.
	Daemon ident.Daemon `yaml:"daemon" validate:"required,max=64"`
	// Address is its fleet listener, host:port with an IP number.
	Address string `yaml:"address" validate:"required,hostname_port|tcp_addr"`
}

// TLS names the files of one certificate and the authority of its peers.
type TLS struct {
	// Certificate is a PEM file with this daemon's certificate.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is a PEM file with its private key.
	Key string `yaml:"key" validate:"required"`
	// Authority is a PEM file with the authority of all daemons.
	Authority string `yaml:"authority" validate:"required"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the base address of the platform's HTTP binding.
	URL string `yaml:"url" validate:"required,url"`
	// ConfigPoll is the interval at which the head row is read. Default 1s.
	ConfigPoll time.Duration `yaml:"config_poll" validate:"min=50000000"`
	// VMPoll is the interval at which the VM list is read. Default 1s.
	VMPoll time.Duration `yaml:"vm_poll" validate:"min=50000000"`
	// Binding is documents or routes. Default documents.
	Binding string `yaml:"binding" validate:"oneof=documents routes"`
	// Timeout bounds one call. Default 2s.
	Timeout time.Duration `yaml:"timeout" validate:"min=10000000"`
}

// Stop bounds a planned stop.
type Stop struct {
	// BalancerLag is how long the balancer needs to notice that readiness
	// fails. Requests are still accepted meanwhile. Default 5s.
	BalancerLag time.Duration `yaml:"balancer_lag" validate:"min=0"`
	// WarnAfter is when a drain that still waits is logged. Default 60s.
	WarnAfter time.Duration `yaml:"warn_after" validate:"min=0"`
}

// Claims bounds the handling of unrepeatable requests.
type Claims struct {
	// Wait is how long a request waits for the platform's table before it is
	// refused as not run. Default 5s.
	Wait time.Duration `yaml:"wait" validate:"min=0"`
}

// Orders bounds the leases under which targets get orders.
type Orders struct {
	// LeaseTerm is how long a lease lasts without renewal, and how long a new
	// holder waits for an old one at least. Default 20s.
	LeaseTerm time.Duration `yaml:"lease_term" validate:"min=1000000000"`
	// ReadBack is the mean time between two readings of a target's state.
	// Default 10s.
	ReadBack time.Duration `yaml:"read_back" validate:"min=100000000"`
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Output is stderr or stdout. Default stderr.
	Output string `yaml:"output" validate:"oneof=stderr stdout"`
}

// Trace says where spans go.
type Trace struct {
	// OTLP is the URL of an OTLP/HTTP collector. Default none.
	OTLP string `yaml:"otlp" validate:"omitempty,url"`
	// File is a file that spans are appended to as JSON. Default none.
	File string `yaml:"file"`
	// Sample is the share of requests without a sampled parent that are
	// traced, from 0 to 1. Default 0.01.
	Sample float64 `yaml:"sample" validate:"min=0,max=1"`
}

// Defaults returns the settings that hold where the file is silent.
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
		Routing:   Routing{RepeatRatio: 0.1, RepeatBurst: 20, RepeatWindow: 10 * time.Second, InTouch: 3 * time.Second, ConnectionShare: 8},
		Platform:  Platform{Binding: BindingDocuments, ConfigPoll: time.Second, VMPoll: time.Second, Timeout: 2 * time.Second},
		Stop:      Stop{BalancerLag: 5 * time.Second, WarnAfter: time.Minute},
		Claims:    Claims{Wait: 5 * time.Second},
		Orders:    Orders{LeaseTerm: 20 * time.Second, ReadBack: 10 * time.Second},
		Log:       Log{Level: "info", Output: "stderr"},
		Trace:     Trace{Sample: 0.01},
	}
}

// anyPort ends a listener's address whose port the system chooses; it is known
// only once the listener is open.
const anyPort = ":0"

// HandoverNone as Fleet.Handover says that no connections are taken over.
const HandoverNone = "none"

// Override changes one field after the file was read.
type Override func(*Settings)

// Load reads the file and applies the overrides in order. An empty path means
// that there is no file.
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

// Parse reads settings from YAML. Unknown fields and values out of range are
// errors that name the field.
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
	if s.Fleet.Advertise == "" && !strings.HasSuffix(s.Fleet.Listen, anyPort) {
		s.Fleet.Advertise = s.Fleet.Listen
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(s); err != nil {
		return Settings{}, merry.Wrap(err)
	}
	return s, nil
}

// DefaultHandover returns the addresses for Handover where the settings name none, in the order
// in which they are to be tried: the port after that of Listen, and any.
func (f Fleet) DefaultHandover() []string {
	host, text, err := net.SplitHostPort(f.Listen)
	if err != nil {
		return nil // Listen was checked
	}
	anyOf := net.JoinHostPort(host, "0")
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil || port == 0 || port == math.MaxUint16 {
		return []string{anyOf}
	}
	return []string{net.JoinHostPort(host, strconv.FormatUint(port+1, 10)), anyOf}
}
