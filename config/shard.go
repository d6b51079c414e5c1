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

// Prefix is the prefix of all configuration keys in the store.
const Prefix = "eiderfold/config/"

const (
	bucketCount       = 16 // Account shards per template; docs/CAPACITY.md lists the resulting sizes.
	maxVersions       = 10 // Versions per template.
	maxRecent         = 64 // Changes per shard.
	templateKind      = "template"
	accountKindPrefix = "accounts/"
)

// Change identifies a published change of a shard: its sequence, publish id,
// publisher and time.
type Change struct {
	Sequence  uint64    `json:"sequence"`
	PublishID string    `json:"publish_id"`
	Publisher string    `json:"publisher"`
	At        time.Time `json:"at"`
}

// Version is a published version of a template.
type Version struct {
	Change
	Source string `json:"source"`
}

// StoredAccount is a client account as stored.
type StoredAccount struct {
	Change
	Parameters map[string]string `json:"parameters,omitempty"`
}

// Shard is the content of one store value: a template with its history, or one
// bucket of a template's accounts. A change is one compare-and-swap of the value.
type Shard struct {
	Sequence uint64                   `json:"sequence"`
	Versions []Version                `json:"versions,omitempty"` // Newest first.
	Accounts map[string]StoredAccount `json:"accounts,omitempty"`
	// Recent lists the last changes, newest first. A publisher that lost the
	// store's response finds its change here, even after later changes.
	Recent []Change `json:"recent"`
}

// envelope is the encoded form of a shard. The checksum detects values that were
// corrupted in transit.
type envelope struct {
	Checksum string          `json:"checksum"`
	Shard    json.RawMessage `json:"shard"`
}

// TemplateKey returns the store key of a template's shard.
func TemplateKey(template string) string { return Prefix + template + "/" + templateKind }

// AccountKey returns the store key of the bucket that holds an account.
func AccountKey(template, account string) string {
	return Prefix + template + "/" + accountKindPrefix + strconv.Itoa(bucketOf(account))
}

func bucketOf(account string) int { return int(xxhash.Sum64String(account) % bucketCount) }

// AccountKeys returns the store keys of all account buckets of a template.
func AccountKeys(template string) []string {
	keys := make([]string, 0, bucketCount)
	for b := range bucketCount {
		keys = append(keys, Prefix+template+"/"+accountKindPrefix+strconv.Itoa(b))
	}
	return keys
}

// TemplatePrefix returns the prefix of all shards of a template.
func TemplatePrefix(template string) string { return Prefix + template + "/" }

// ShardKey is a parsed configuration key.
type ShardKey struct {
	Template   string
	IsTemplate bool // Key of the template shard, not of an account bucket.
	Bucket     int
}

// ParseKey parses a configuration key. Other keys with the same prefix, such as a
// template's assignment, are an error.
func ParseKey(key string) (ShardKey, error) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return ShardKey{}, errors.Errorf("%s is not a configuration key", key)
	}
	template, kind, _ := strings.Cut(rest, "/")
	if kind == templateKind {
		return ShardKey{Template: template, IsTemplate: true}, nil
	}
	number, ok := strings.CutPrefix(kind, accountKindPrefix)
	bucket, err := strconv.Atoi(number)
	if !ok || err != nil || bucket < 0 || bucket >= bucketCount {
		return ShardKey{}, errors.Errorf("%s is not a configuration key", key)
	}
	return ShardKey{Template: template, Bucket: bucket}, nil
}

// Encode returns the shard as a store value. It fails if the value would exceed
// port.MaxValue.
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

// DecodeShard decodes a store value. A wrong checksum is an error.
func DecodeShard(text []byte) (*Shard, error) {
	var outer envelope
	if err := json.Unmarshal(text, &outer); err != nil {
		return nil, errors.Wrap(err, "decode shard")
	}
	if outer.Checksum != checksum(outer.Shard) {
		return nil, errors.New("value is corrupted: checksum mismatch")
	}
	s := &Shard{}
	if err := json.Unmarshal(outer.Shard, s); err != nil {
		return nil, errors.Wrap(err, "decode shard")
	}
	return s, nil
}

func checksum(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }

// Current returns the newest version of the template, and whether there is one.
func (s *Shard) Current() (Version, bool) {
	if len(s.Versions) == 0 {
		return Version{}, false
	}
	return s.Versions[0], true
}

// Published returns the change with this publish id, if it is among the recent ones.
func (s *Shard) Published(id string) (Change, bool) {
	for _, c := range s.Recent {
		if c.PublishID == id {
			return c, true
		}
	}
	return Change{}, false
}

// PutTemplate adds a new current version and returns its change.
func (s *Shard) PutTemplate(c Change, source string) Change {
	c = s.stamp(c)
	s.Versions = append([]Version{{Change: c, Source: source}}, s.Versions...)
	s.Versions = s.Versions[:min(len(s.Versions), maxVersions)]
	return c
}

// PutAccount adds or replaces an account and returns the change.
func (s *Shard) PutAccount(c Change, account string, parameters map[string]string) Change {
	c = s.stamp(c)
	if s.Accounts == nil {
		s.Accounts = map[string]StoredAccount{}
	}
	s.Accounts[account] = StoredAccount{Change: c, Parameters: parameters}
	return c
}

// RemoveAccount removes an account and returns the change.
func (s *Shard) RemoveAccount(c Change, account string) Change {
	c = s.stamp(c)
	delete(s.Accounts, account)
	return c
}

// stamp assigns the next sequence to a change and adds it to Recent.
func (s *Shard) stamp(c Change) Change {
	s.Sequence++
	c.Sequence = s.Sequence
	s.Recent = append([]Change{c}, s.Recent...)
	s.Recent = s.Recent[:min(len(s.Recent), maxRecent)]
	return c
}
