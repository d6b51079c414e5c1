package config

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Snapshot is the configuration in force on a node. It never changes; a newer one
// takes its place.
type Snapshot struct {
	templates []*held
	sequences map[string]uint64 // By shard key.
}

// held is a template with the accounts that instantiate it.
type held struct {
	template *Template
	buckets  [buckets]map[string]*Account
}

// Find returns the account and the route of a request. The route is nil if the
// account exists and has no such route; both are nil if there is no account.
func (s *Snapshot) Find(account, method, path string) (*Template, *Account, *Route) {
	var known *Account
	var of *Template
	for _, h := range s.templates {
		a := h.account(account)
		if a == nil {
			continue
		}
		if r := h.template.Route(method, path); r != nil {
			return h.template, a, r
		}
		known, of = a, h.template
	}
	return of, known, nil
}

func (h *held) account(name string) *Account { return h.buckets[bucketOf(name)][name] }

// Templates returns the templates in force.
func (s *Snapshot) Templates() []*Template {
	templates := make([]*Template, 0, len(s.templates))
	for _, h := range s.templates {
		templates = append(templates, h.template)
	}
	return templates
}

// Template returns a template by name, nil if it is not in force here.
func (s *Snapshot) Template(name string) *Template {
	for _, h := range s.templates {
		if h.template.name == name {
			return h.template
		}
	}
	return nil
}

// Accounts counts the accounts in force.
func (s *Snapshot) Accounts() int {
	n := 0
	for _, h := range s.templates {
		for _, b := range h.buckets {
			n += len(b)
		}
	}
	return n
}

// Sequences returns the sequence in force of every shard; do not change the map.
func (s *Snapshot) Sequences() map[string]uint64 { return s.sequences }

// Holder keeps the snapshot in force. Readers take no lock.
type Holder struct {
	mu     sync.Mutex // Held by writers only.
	now    atomic.Pointer[Snapshot]
	shards map[string][]byte // The values themselves, for peers that ask.
}

// NewHolder returns a holder with nothing in force.
func NewHolder() *Holder {
	h := &Holder{shards: map[string][]byte{}}
	h.now.Store(&Snapshot{sequences: map[string]uint64{}})
	return h
}

// Now returns the snapshot in force.
func (h *Holder) Now() *Snapshot { return h.now.Load() }

// Shard returns a shard's value as it came, nil if there is none.
func (h *Holder) Shard(key string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[key]
}

// Apply puts a shard in force if it is newer than what is. It reports whether it
// was, and refuses a value that is corrupted or does not parse.
func (h *Holder) Apply(key string, value []byte) (bool, error) {
	place, err := ParseKey(key)
	if err != nil {
		return false, err
	}
	shard, err := DecodeShard(value)
	if err != nil {
		return false, errors.Wrap(err, key)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Now()
	if shard.Sequence <= old.sequences[key] {
		return false, nil
	}
	next := &Snapshot{templates: slices.Clone(old.templates), sequences: maps.Clone(old.sequences)}
	if place.Itself {
		err = h.setTemplate(next, place.Template, shard)
	} else {
		next.setBucket(place, shard)
	}
	if err != nil {
		return false, errors.Wrap(err, key)
	}
	next.sequences[key] = shard.Sequence
	h.shards[key] = value
	h.now.Store(next)
	return true, nil
}

// setTemplate instantiates anew every account that is held of the template, also
// those that came before it.
func (h *Holder) setTemplate(s *Snapshot, name string, shard *Shard) error {
	version, ok := shard.Current()
	if !ok {
		return errors.New("template shard holds no version")
	}
	t, err := ParseTemplate(name, []byte(version.Source))
	if err != nil {
		return err
	}
	next := &held{template: t}
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
	slices.SortFunc(s.templates, func(a, b *held) int { return strings.Compare(a.template.name, b.template.name) })
	return nil
}

func (s *Snapshot) setBucket(p Place, shard *Shard) {
	i := s.index(p.Template)
	if i < 0 {
		return // The value is kept and instantiated when the template comes.
	}
	next := *s.templates[i]
	next.buckets[p.Bucket] = next.template.instantiateAll(shard)
	s.templates[i] = &next
}

func (s *Snapshot) index(template string) int {
	return slices.IndexFunc(s.templates, func(h *held) bool { return h.template.name == template })
}

// instantiateAll makes the accounts of a bucket. A publish is refused when an
// account does not fit, but a template and an account can be published at the
// same moment; such an account falls back to the defaults rather than vanish.
func (t *Template) instantiateAll(shard *Shard) map[string]*Account {
	accounts := make(map[string]*Account, len(shard.Accounts))
	for name, stored := range shard.Accounts {
		a, err := t.Instantiate(name, stored.Parameters)
		if err != nil {
			a = t.fitting(name, stored.Parameters)
		}
		accounts[name] = a
	}
	return accounts
}

// fitting makes an account from those of its parameters that the template takes.
func (t *Template) fitting(name string, parameters map[string]string) *Account {
	a := &Account{name: name}
	for i, p := range t.parameters {
		text, set := parameters[p.name]
		if set && p.Check(text) == nil && text != p.standard {
			a.values = append(a.values, newValue(i, p, text))
		}
	}
	return a
}
