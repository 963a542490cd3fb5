package config

import (
	"crypto/subtle"
	"sort"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
)

// Snapshot is the configuration in force at one moment. It is immutable.
type Snapshot struct {
	services []*Service
	byName   map[ident.Service]*Service
	byModel  map[string]*Service
}

func newSnapshot(services []*Service) *Snapshot {
	sort.Slice(services, func(i, j int) bool { return services[i].Document.Service < services[j].Document.Service })
	s := &Snapshot{
		services: services,
		byName:   make(map[ident.Service]*Service, len(services)),
		byModel:  map[string]*Service{},
	}
	for _, service := range services {
		s.byName[service.Document.Service] = service
		for _, model := range service.Document.Models {
			s.claimModel(model, service)
		}
	}
	return s
}

// claimModel gives a model to the service that took it last. The table holds
// one owner of a model at each revision, but on a daemon that lags the old
// owner's document can still name a model that has moved.
func (s *Snapshot) claimModel(model string, service *Service) {
	other, taken := s.byModel[model]
	if !taken || service.Revision > other.Revision {
		s.byModel[model] = service
	}
}

// Services returns the services by name. The slice must not be changed.
func (s *Snapshot) Services() []*Service { return s.services }

// Service returns the service of the given name.
func (s *Snapshot) Service(name ident.Service) (*Service, bool) {
	service, ok := s.byName[name]
	return service, ok
}

// ByModel returns the service that serves a model.
func (s *Snapshot) ByModel(model string) (*Service, bool) {
	service, ok := s.byModel[model]
	return service, ok
}

// KnownKey tells whether any service knows the bearer key. It separates a key
// that nobody issued (401) from one of another service (403).
func (s *Snapshot) KnownKey(bearer string) bool {
	digest := document.DigestKey(bearer)
	for _, service := range s.services {
		if _, ok := service.authenticate(digest); ok {
			return true
		}
	}
	return false
}

// Service is one service in force. It is immutable.
type Service struct {
	Document *document.Document
	// Revision is the configuration revision of the document.
	Revision uint64

	keys       map[document.KeyDigest]keyOwner
	named      map[string]*document.Operation
	standard   *document.Operation
	operations []pathOperation
}

type keyOwner struct {
	digest    document.KeyDigest
	workspace ident.Workspace
}

type pathOperation struct {
	pattern   document.Pattern
	operation *document.Operation
}

func newService(d *document.Document, revision uint64) *Service {
	s := &Service{
		Document: d,
		Revision: revision,
		keys:     make(map[document.KeyDigest]keyOwner, len(d.Workspaces)),
		named:    make(map[string]*document.Operation, len(d.Operations)),
	}
	for _, w := range d.Workspaces {
		for _, key := range w.Keys {
			digest, _ := document.ParseKey(key) // Parse has checked the form.
			s.keys[digest] = keyOwner{digest: digest, workspace: w.Name}
		}
	}
	for i := range d.Operations {
		s.addOperation(&d.Operations[i])
	}
	sort.SliceStable(s.operations, func(i, j int) bool {
		return s.operations[i].pattern.MoreSpecific(s.operations[j].pattern)
	})
	return s
}

func (s *Service) addOperation(o *document.Operation) {
	s.named[o.Name] = o
	if o.Default {
		s.standard = o
	}
	if o.Path == "" {
		return
	}
	if pattern, err := document.ParsePattern(o.Path); err == nil { // Parse has checked it.
		s.operations = append(s.operations, pathOperation{pattern: pattern, operation: o})
	}
}

// Authenticate returns the workspace that a bearer key belongs to. How long it
// takes tells nothing about the keys: the map is searched by the digest of
// what the caller sent, and the digests are compared in constant time.
func (s *Service) Authenticate(bearer string) (ident.Workspace, bool) {
	return s.authenticate(document.DigestKey(bearer))
}

func (s *Service) authenticate(digest document.KeyDigest) (ident.Workspace, bool) {
	owner := s.keys[digest]
	if subtle.ConstantTimeCompare(owner.digest[:], digest[:]) != 1 {
		return "", false
	}
	return owner.workspace, true
}

// Operation returns the operation of a plain service for a method and the
// decoded path of a URL: the most specific pattern that matches.
func (s *Service) Operation(method, path string) (*document.Operation, bool) {
	for _, o := range s.operations {
		if o.operation.Method == method && o.pattern.Match(path) {
			return o.operation, true
		}
	}
	return nil, false
}

// Methods returns the methods that are allowed on a path of a plain service,
// in order; none means that no operation has the path.
func (s *Service) Methods(path string) []string {
	var methods []string
	seen := map[string]bool{}
	for _, o := range s.operations {
		if method := o.operation.Method; !seen[method] && o.pattern.Match(path) {
			seen[method] = true
			methods = append(methods, method)
		}
	}
	sort.Strings(methods)
	return methods
}

// NamedOperation returns the operation of a name. The empty name stands for
// the default one, which only model services have.
func (s *Service) NamedOperation(name string) (*document.Operation, bool) {
	if name == "" {
		return s.standard, s.standard != nil
	}
	o, ok := s.named[name]
	return o, ok
}
