package config

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Snapshot is the configuration in force on a node. It is immutable; each change
// creates a new one.
type Snapshot struct {
	templates []*templateAccounts
	sequences map[string]uint64 // By shard key.
}

// templateAccounts is a template with the accounts that instantiate it.
type templateAccounts struct {
	template *Template
	buckets  [bucketCount]map[string]*Account
}

// Find returns the template, the account and the route of a request. If the account
// exists but has no matching route, only the route is nil. If there is no such
// account, all three are nil.
func (s *Snapshot) Find(account, method, path string) (*Template, *Account, *Route) {
	var known *Account
	var template *Template
	for _, h := range s.templates {
		a := h.account(account)
		if a == nil {
			continue
		}
		if r := h.template.Route(method, path); r != nil {
			return h.template, a, r
		}
		known, template = a, h.template
	}
	return template, known, nil
}

func (h *templateAccounts) account(name string) *Account { return h.buckets[bucketOf(name)][name] }

// Templates returns the templates in force.
func (s *Snapshot) Templates() []*Template {
	templates := make([]*Template, 0, len(s.templates))
	for _, h := range s.templates {
		templates = append(templates, h.template)
	}
	return templates
}

// Template returns a template by name, or nil if it is not in force on this node.
func (s *Snapshot) Template(name string) *Template {
	for _, h := range s.templates {
		if h.template.name == name {
			return h.template
		}
	}
	return nil
}

// Accounts returns the number of accounts in force.
func (s *Snapshot) Accounts() int {
	n := 0
	for _, h := range s.templates {
		for _, b := range h.buckets {
			n += len(b)
		}
	}
	return n
}

// Sequences returns the sequence in force of every shard, by shard key. The caller
// must not modify the map.
func (s *Snapshot) Sequences() map[string]uint64 { return s.sequences }

// Holder holds the current snapshot. Reading it takes no lock.
type Holder struct {
	mu      sync.Mutex // Serializes writers; guards shards.
	current atomic.Pointer[Snapshot]
	shards  map[string][]byte // Store values by key, to serve to peers.
}

// NewHolder returns a holder with an empty snapshot.
func NewHolder() *Holder {
	h := &Holder{shards: map[string][]byte{}}
	h.current.Store(&Snapshot{sequences: map[string]uint64{}})
	return h
}

// Snapshot returns the current snapshot.
func (h *Holder) Snapshot() *Snapshot { return h.current.Load() }

// Shard returns the value of a shard as received, or nil if there is none.
func (h *Holder) Shard(key string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[key]
}

// Apply puts a shard in force if its sequence is higher than the current one, and
// reports whether it did. A value that is corrupted or does not parse is an error.
func (h *Holder) Apply(key string, value []byte) (bool, error) {
	parsed, err := ParseKey(key)
	if err != nil {
		return false, err
	}
	shard, err := DecodeShard(value)
	if err != nil {
		return false, errors.Wrap(err, key)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Snapshot()
	if shard.Sequence <= old.sequences[key] {
		return false, nil
	}
	next := &Snapshot{templates: slices.Clone(old.templates), sequences: maps.Clone(old.sequences)}
	if parsed.IsTemplate {
		err = h.setTemplate(next, parsed.Template, shard)
	} else {
		next.setBucket(parsed, shard)
	}
	if err != nil {
		return false, errors.Wrap(err, key)
	}
	next.sequences[key] = shard.Sequence
	h.shards[key] = value
	h.current.Store(next)
	return true, nil
}

// setTemplate replaces a template and instantiates its accounts again, including
// those whose shards arrived before the template.
func (h *Holder) setTemplate(s *Snapshot, name string, shard *Shard) error {
	version, ok := shard.Current()
	if !ok {
		return errors.New("template shard has no version")
	}
	t, err := ParseTemplate(name, []byte(version.Source))
	if err != nil {
		return err
	}
	next := &templateAccounts{template: t}
	for b, key := range AccountKeys(name) {
		if value := h.shards[key]; value != nil {
			accounts, err := DecodeShard(value)
			if err != nil {
				return err
			}
			next.buckets[b] = t.instantiateAll(accounts)
		}
	}
	i := s.index(name)
	if i >= 0 {
		s.templates[i] = next
		return nil
	}
	s.templates = append(s.templates, next)
	slices.SortFunc(s.templates, func(a, b *templateAccounts) int { return strings.Compare(a.template.name, b.template.name) })
	return nil
}

func (s *Snapshot) setBucket(parsed ShardKey, shard *Shard) {
	i := s.index(parsed.Template)
	if i < 0 {
		return // setTemplate instantiates the accounts when the template arrives.
	}
	next := *s.templates[i]
	next.buckets[parsed.Bucket] = next.template.instantiateAll(shard)
	s.templates[i] = &next
}

func (s *Snapshot) index(template string) int {
	return slices.IndexFunc(s.templates, func(h *templateAccounts) bool { return h.template.name == template })
}

// instantiateAll returns the accounts of a bucket. Publishing a template that does
// not fit an existing account is refused, but the two can be published at the same
// time. Parameters that do not fit then fall back to their defaults, so that the
// account stays available.
func (t *Template) instantiateAll(shard *Shard) map[string]*Account {
	accounts := make(map[string]*Account, len(shard.Accounts))
	for name, stored := range shard.Accounts {
		a, err := t.Instantiate(name, stored.Parameters)
		if err != nil {
			a = t.instantiateValid(name, stored.Parameters)
		}
		accounts[name] = a
	}
	return accounts
}

// instantiateValid returns an account with only those parameters that are valid for
// the template; the others keep their defaults.
func (t *Template) instantiateValid(name string, parameters map[string]string) *Account {
	a := &Account{name: name}
	for i, p := range t.parameters {
		text, set := parameters[p.name]
		if set && p.Check(text) == nil && text != p.defaultValue {
			a.values = append(a.values, newValue(i, p, text))
		}
	}
	return a
}
