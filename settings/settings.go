// Package settings reads settings from a YAML file. Load reads those of a node, in which
// the environment overrides the file, and flags override both. LoadMesh reads those of
// `eiderfold mesh`, from the file alone. Both report all invalid fields at once.
//
// # Usage
//
//	s, err := settings.Load("node.yaml", os.LookupEnv, map[string]string{"node": "node-7"})
//	fmt.Println(s.Node(), s.Callers())
package settings

import (
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"eiderfold/keys"
)

// EnvironmentPrefix is the prefix of environment variables that override a field.
const EnvironmentPrefix = "EIDERFOLD_"

// Defaults of optional fields, and bounds.
const (
	defaultCallsPerSecond = 20       // Platform calls per second.
	defaultBody           = 16 << 20 // Bytes.
	defaultKeyedBody      = 1 << 20  // Bytes.
	defaultHeader         = 64 << 10 // Bytes.
	defaultConnections    = 10_000
	defaultSlowCaller     = 10 * time.Second
	defaultGrace          = 2 * time.Second
	defaultStopDeadline   = 30 * time.Second
	maxConnections        = 1_000_000
	maxBody               = 1 << 30 // Bytes.
	minHeader             = 4 << 10 // Bytes.
)

// file is the YAML form of the settings.
type file struct {
	Node          string    `yaml:"node"`
	DataCentre    string    `yaml:"data_centre"`
	LocalUpstream string    `yaml:"beside"` // The upstream on the same instance.
	Templates     []string  `yaml:"templates"`
	Seeds         []string  `yaml:"seeds"`
	Listen        listen    `yaml:"listen"`
	Platform      platform  `yaml:"platform"`
	Keys          keyFiles  `yaml:"keys"`
	CallerKeys    keyFiles  `yaml:"caller_keys"`
	Teams         []Team    `yaml:"teams"`
	Limits        limits    `yaml:"limits"`
	Stop          stop      `yaml:"stop"`
	Log           logFields `yaml:"log"`
}

type listen struct {
	Callers string `yaml:"callers"`
	Admin   string `yaml:"admin"`
	Peers   string `yaml:"peers"`
}

type platform struct {
	Address        string  `yaml:"address"`
	Token          string  `yaml:"token"`
	CallsPerSecond float64 `yaml:"calls_per_second"`
}

type keyFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Team is a team with access to the admin API.
type Team struct {
	Name      string   `yaml:"name"`
	Token     string   `yaml:"token"`
	Templates []string `yaml:"templates"` // Templates the team may change; "*" means all.
	ReadOnly  bool     `yaml:"read_only"`
}

type limits struct {
	BodyBytes      int64         `yaml:"body_bytes"`
	KeyedBodyBytes int64         `yaml:"keyed_body_bytes"`
	HeaderBytes    int           `yaml:"header_bytes"`
	Connections    int           `yaml:"connections"`
	SlowCaller     time.Duration `yaml:"slow_caller"`
}

type stop struct {
	Grace    time.Duration `yaml:"grace"`
	Deadline time.Duration `yaml:"deadline"`
}

type logFields struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

// Settings holds the validated settings of a node.
type Settings struct{ file }

// Node returns the node's name, the same as in the platform's list.
func (s *Settings) Node() string { return s.file.Node }

// DataCentre returns the data centre the node is in.
func (s *Settings) DataCentre() string { return s.file.DataCentre }

// LocalUpstream returns the upstream that runs on the same instance, or "" if none does.
func (s *Settings) LocalUpstream() string { return s.file.LocalUpstream }

// Templates returns the templates the node serves.
func (s *Settings) Templates() []string { return s.file.Templates }

// Seeds returns the addresses of peers to contact at startup while the platform is
// unavailable.
func (s *Settings) Seeds() []string { return s.file.Seeds }

// Callers returns the IP:port for callers.
func (s *Settings) Callers() string { return s.Listen.Callers }

// Admin returns the IP:port of the admin API.
func (s *Settings) Admin() string { return s.Listen.Admin }

// Peers returns the IP:port for other nodes.
func (s *Settings) Peers() string { return s.Listen.Peers }

// PlatformAddress returns the base URL of the store and the instance list.
func (s *Settings) PlatformAddress() string { return s.Platform.Address }

// PlatformToken returns the access token for the platform.
func (s *Settings) PlatformToken() string { return s.Platform.Token }

// CallsPerSecond returns this node's rate limit on calls to the platform.
func (s *Settings) CallsPerSecond() float64 { return s.Platform.CallsPerSecond }

// Teams returns the teams with access to the admin API.
func (s *Settings) Teams() []Team { return s.file.Teams }

// Body returns the maximum body size in bytes of any request, and of one with an
// Idempotency-Key.
func (s *Settings) Body() (any, keyed int64) {
	return s.Limits.BodyBytes, s.Limits.KeyedBodyBytes
}

// Header returns the maximum size of a request's header in bytes.
func (s *Settings) Header() int { return s.Limits.HeaderBytes }

// Connections returns the maximum number of concurrent caller connections.
func (s *Settings) Connections() int { return s.Limits.Connections }

// HeaderReadTimeout returns the read timeout of a request's header.
func (s *Settings) HeaderReadTimeout() time.Duration { return s.Limits.SlowCaller }

// Grace returns how long a stopping node still accepts requests, while callers switch
// to other nodes.
func (s *Settings) Grace() time.Duration { return s.Stop.Grace }

// StopDeadline returns the total time limit of a stop.
func (s *Settings) StopDeadline() time.Duration { return s.Stop.Deadline }

// LogLevel returns the minimum level that is logged.
func (s *Settings) LogLevel() string { return s.Log.Level }

// LogFormat returns "json" or "console".
func (s *Settings) LogFormat() string { return s.Log.Format }

// PeerKeys loads the certificate and key for mutual TLS between nodes.
func (s *Settings) PeerKeys() (*keys.Material, error) { return s.Keys.load() }

// CallerTLS loads the certificate and key for TLS with callers and operators. It
// returns nil if none are configured.
func (s *Settings) CallerTLS() (*keys.Material, error) {
	if s.CallerKeys.Certificate == "" {
		return nil, nil
	}
	return s.CallerKeys.load()
}

func (k keyFiles) load() (*keys.Material, error) {
	if isPEM(k.Certificate) {
		return keys.New(keys.Pair{Certificate: []byte(k.Certificate), Key: []byte(k.Key)}, []byte(k.Authority))
	}
	return keys.Load(k.Certificate, k.Key, k.Authority)
}

// isPEM reports whether a field holds PEM text rather than a path.
func isPEM(text string) bool { return strings.Contains(text, "-----BEGIN") }

// Load reads the file at path, applies the overrides and validates the result. An
// empty path means no file.
func Load(path string, environment func(string) (string, bool), flags map[string]string) (*Settings, error) {
	s := &Settings{}
	if path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "settings")
		}
		if err := yaml.UnmarshalWithOptions(text, &s.file, yaml.Strict()); err != nil {
			return nil, errors.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
		}
	}
	s.override(environment, flags)
	s.defaults()
	if faults := s.check(); len(faults) > 0 {
		return nil, errors.Errorf("%s: %s", displayName(path), strings.Join(faults, "\n"+displayName(path)+": "))
	}
	return s, nil
}

func displayName(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

// Overridable returns the fields that the environment and flags may override.
func Overridable() []string {
	return []string{"node", "data_centre", "beside", "templates", "seeds", "listen.callers", "listen.admin", "listen.peers", "platform.address", "platform.token", "log.level", "log.format"}
}

func (s *Settings) override(environment func(string) (string, bool), flags map[string]string) {
	for _, field := range Overridable() {
		variable := EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(field, ".", "_"))
		if value, ok := environment(variable); ok {
			s.set(field, value)
		}
		if value, ok := flags[field]; ok {
			s.set(field, value)
		}
	}
}

func (s *Settings) set(field, value string) {
	switch field {
	case "node":
		s.file.Node = value
	case "data_centre":
		s.file.DataCentre = value
	case "beside":
		s.file.LocalUpstream = value
	case "templates":
		s.file.Templates = strings.Split(value, ",")
	case "seeds":
		s.file.Seeds = strings.Split(value, ",")
	case "listen.callers":
		s.Listen.Callers = value
	case "listen.admin":
		s.Listen.Admin = value
	case "listen.peers":
		s.Listen.Peers = value
	case "platform.address":
		s.Platform.Address = value
	case "platform.token":
		s.Platform.Token = value
	case "log.level":
		s.Log.Level = value
	case "log.format":
		s.Log.Format = value
	}
}

func (s *Settings) defaults() {
	setDefaultInt(&s.Limits.HeaderBytes, defaultHeader)
	setDefaultInt(&s.Limits.Connections, defaultConnections)
	if s.Limits.BodyBytes == 0 {
		s.Limits.BodyBytes = defaultBody
	}
	if s.Limits.KeyedBodyBytes == 0 {
		s.Limits.KeyedBodyBytes = defaultKeyedBody
	}
	if s.Platform.CallsPerSecond == 0 {
		s.Platform.CallsPerSecond = defaultCallsPerSecond
	}
	for field, defaultValue := range map[*time.Duration]time.Duration{
		&s.Limits.SlowCaller: defaultSlowCaller,
		&s.Stop.Grace:        defaultGrace,
		&s.Stop.Deadline:     defaultStopDeadline,
	} {
		if *field == 0 {
			*field = defaultValue
		}
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "json"
	}
}

func setDefaultInt(field *int, defaultValue int) {
	if *field == 0 {
		*field = defaultValue
	}
}
