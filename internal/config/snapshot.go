package config

import (
	"crypto/subtle"
	"sort"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
)

// Snapshot is the active configuration at one point in time. It is immutable.
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
			s.assignModel(model, service)
		}
	}
	return s
}

// assignModel assigns a model to the service with the highest revision that
// names it. The table has one owner of a model at each revision, but on a daemon
// that lags behind, the document of the previous owner can still name a model
// that has moved to another service.
func (s *Snapshot) assignModel(model string, service *Service) {
	other, assigned := s.byModel[model]
	if !assigned || service.Revision > other.Revision {
		s.byModel[model] = service
	}
}

// Services returns the services sorted by name. The slice must not be modified.
func (s *Snapshot) Services() []*Service { return s.services }

// Service returns the service with the given name.
func (s *Snapshot) Service(name ident.Service) (*Service, bool) {
	service, ok := s.byName[name]
	return service, ok
}

// ByModel returns the service that serves a model.
func (s *Snapshot) ByModel(model string) (*Service, bool) {
	service, ok := s.byModel[model]
	return service, ok
}

// KnownKey reports whether any service accepts the bearer key. It distinguishes
// a key that was never issued (401) from a key of another service (403).
func (s *Snapshot) KnownKey(bearer string) bool {
	digest := document.DigestKey(bearer)
	for _, service := range s.services {
		if _, ok := service.authenticate(digest); ok {
			return true
		}
	}
	return false
}

// Service is an active service. It is immutable.
type Service struct {
	Document *document.Document
	// Revision is the configuration revision of the document.
	Revision uint64

	keyOwners        map[document.KeyDigest]keyOwner
	operationsByName map[string]*document.Operation
	defaultOperation *document.Operation
	pathOperations   []pathOperation
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
		Document:         d,
		Revision:         revision,
		keyOwners:        make(map[document.KeyDigest]keyOwner, len(d.Workspaces)),
		operationsByName: make(map[string]*document.Operation, len(d.Operations)),
	}
	for _, w := range d.Workspaces {
		for _, key := range w.Keys {
			digest, _ := document.ParseKey(key) // Validated by document.Parse.
			s.keyOwners[digest] = keyOwner{digest: digest, workspace: w.Name}
		}
	}
	for i := range d.Operations {
		s.addOperation(&d.Operations[i])
	}
	sort.SliceStable(s.pathOperations, func(i, j int) bool {
		return s.pathOperations[i].pattern.MoreSpecific(s.pathOperations[j].pattern)
	})
	return s
}

func (s *Service) addOperation(o *document.Operation) {
	s.operationsByName[o.Name] = o
	if o.Default {
		s.defaultOperation = o
	}
	if o.Path == "" {
		return
	}
	if pattern, err := document.ParsePattern(o.Path); err == nil { // Validated by document.Parse.
		s.pathOperations = append(s.pathOperations, pathOperation{pattern: pattern, operation: o})
	}
}

// Authenticate returns the workspace that a bearer key belongs to. Its timing
// reveals nothing about the keys: the map lookup uses the digest of what the
// caller sent, and the digests are compared in constant time.
func (s *Service) Authenticate(bearer string) (ident.Workspace, bool) {
	return s.authenticate(document.DigestKey(bearer))
}

func (s *Service) authenticate(digest document.KeyDigest) (ident.Workspace, bool) {
	owner := s.keyOwners[digest]
	if subtle.ConstantTimeCompare(owner.digest[:], digest[:]) != 1 {
		return "", false
	}
	return owner.workspace, true
}

// Operation returns the operation of a plain service for a method and a decoded
// URL path. If several patterns match, the most specific one applies.
func (s *Service) Operation(method, path string) (*document.Operation, bool) {
	for _, o := range s.pathOperations {
		if o.operation.Method == method && o.pattern.Match(path) {
			return o.operation, true
		}
	}
	return nil, false
}

// AllowedMethods returns the methods that are allowed on a path of a plain
// service, sorted. It is empty if no operation matches the path.
func (s *Service) AllowedMethods(path string) []string {
	var methods []string
	seen := map[string]bool{}
	for _, o := range s.pathOperations {
		if method := o.operation.Method; !seen[method] && o.pattern.Match(path) {
			seen[method] = true
			methods = append(methods, method)
		}
	}
	sort.Strings(methods)
	return methods
}

// NamedOperation returns the operation with the given name. An empty name
// selects the default operation, which only model services have.
func (s *Service) NamedOperation(name string) (*document.Operation, bool) {
	if name == "" {
		return s.defaultOperation, s.defaultOperation != nil
	}
	o, ok := s.operationsByName[name]
	return o, ok
}
