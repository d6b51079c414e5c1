package config

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"eiderfold/port"
)

// Prefix is where the store holds configuration.
const Prefix = "eiderfold/config/"

const (
	buckets        = 16 // Per template; see docs/CAPACITY.md for the sizes this gives.
	keptHistory    = 10
	keptPublishIDs = 64
	templateShard  = "template"
	accountShard   = "accounts/"
)

// Change says who published what, and under which identifier.
type Change struct {
	Sequence  uint64    `json:"sequence"`
	PublishID string    `json:"publish_id"`
	Publisher string    `json:"publisher"`
	At        time.Time `json:"at"`
}

// Version is one published source of a template.
type Version struct {
	Change
	Source string `json:"source"`
}

// StoredAccount is a client account as the store keeps it.
type StoredAccount struct {
	Change
	Parameters map[string]string `json:"parameters,omitempty"`
}

// Shard is one value of the store: a template with its history, or one bucket of
// a template's accounts. Each change of it is one compare-and-swap.
type Shard struct {
	Sequence uint64                   `json:"sequence"`
	Versions []Version                `json:"versions,omitempty"` // Newest first.
	Accounts map[string]StoredAccount `json:"accounts,omitempty"`
	// Recent lets a publisher whose answer was lost find its own change, also
	// after others have come on top of it.
	Recent []Change `json:"recent"`
}

// envelope guards a shard with a checksum, since a value that was corrupted on
// its way must not become the configuration.
type envelope struct {
	Checksum string          `json:"checksum"`
	Shard    json.RawMessage `json:"shard"`
}

// TemplateKey returns the store key of a template's shard.
func TemplateKey(template string) string { return Prefix + template + "/" + templateShard }

// AccountKey returns the store key of the bucket that holds an account.
func AccountKey(template, account string) string {
	return Prefix + template + "/" + accountShard + strconv.Itoa(bucketOf(account))
}

func bucketOf(account string) int { return int(xxhash.Sum64String(account) % buckets) }

// AccountKeys returns the store keys of all account buckets of a template.
func AccountKeys(template string) []string {
	keys := make([]string, 0, buckets)
	for b := range buckets {
		keys = append(keys, Prefix+template+"/"+accountShard+strconv.Itoa(b))
	}
	return keys
}

// TemplatePrefix returns the prefix of all shards of a template.
func TemplatePrefix(template string) string { return Prefix + template + "/" }

// Place says what a configuration key holds.
type Place struct {
	Template string
	Itself   bool // The template itself, not a bucket of accounts.
	Bucket   int
}

// ParseKey reads a configuration key. Other keys below the same prefix, such as
// a template's assignment, are an error.
func ParseKey(key string) (Place, error) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return Place{}, errors.Errorf("%s is no configuration key", key)
	}
	template, kind, _ := strings.Cut(rest, "/")
	if kind == templateShard {
		return Place{Template: template, Itself: true}, nil
	}
	number, ok := strings.CutPrefix(kind, accountShard)
	bucket, err := strconv.Atoi(number)
	if !ok || err != nil || bucket < 0 || bucket >= buckets {
		return Place{}, errors.Errorf("%s is no configuration key", key)
	}
	return Place{Template: template, Bucket: bucket}, nil
}

// Encode returns the shard as a store value.
func (s *Shard) Encode() ([]byte, error) {
	inner, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode shard")
	}
	outer, err := json.Marshal(envelope{Checksum: checksum(inner), Shard: inner})
	if err != nil {
		return nil, errors.Wrap(err, "encode shard")
	}
	if len(outer) > port.MaxValue {
		return nil, errors.Errorf("the shard would be %d bytes, over the store's %d", len(outer), port.MaxValue)
	}
	return outer, nil
}

// DecodeShard reads a store value, and refuses one whose checksum is wrong.
func DecodeShard(text []byte) (*Shard, error) {
	var outer envelope
	if err := json.Unmarshal(text, &outer); err != nil {
		return nil, errors.Wrap(err, "value is no shard")
	}
	if outer.Checksum != checksum(outer.Shard) {
		return nil, errors.New("value is corrupted: its checksum is wrong")
	}
	s := &Shard{}
	if err := json.Unmarshal(outer.Shard, s); err != nil {
		return nil, errors.Wrap(err, "value is no shard")
	}
	return s, nil
}

func checksum(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }

// Current returns the template version in force.
func (s *Shard) Current() (Version, bool) {
	if len(s.Versions) == 0 {
		return Version{}, false
	}
	return s.Versions[0], true
}

// Published returns the change with this publish id, if the shard remembers it.
func (s *Shard) Published(id string) (Change, bool) {
	for _, c := range s.Recent {
		if c.PublishID == id {
			return c, true
		}
	}
	return Change{}, false
}

// PutTemplate puts a new version in force and returns its change.
func (s *Shard) PutTemplate(c Change, source string) Change {
	c = s.stamp(c)
	s.Versions = append([]Version{{Change: c, Source: source}}, s.Versions...)
	s.Versions = s.Versions[:min(len(s.Versions), keptHistory)]
	return c
}

// PutAccount puts an account in force and returns its change.
func (s *Shard) PutAccount(c Change, account string, parameters map[string]string) Change {
	c = s.stamp(c)
	if s.Accounts == nil {
		s.Accounts = map[string]StoredAccount{}
	}
	s.Accounts[account] = StoredAccount{Change: c, Parameters: parameters}
	return c
}

// RemoveAccount takes an account out and returns the change.
func (s *Shard) RemoveAccount(c Change, account string) Change {
	c = s.stamp(c)
	delete(s.Accounts, account)
	return c
}

func (s *Shard) stamp(c Change) Change {
	s.Sequence++
	c.Sequence = s.Sequence
	s.Recent = append([]Change{c}, s.Recent...)
	s.Recent = s.Recent[:min(len(s.Recent), keptPublishIDs)]
	return c
}
