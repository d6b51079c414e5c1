package settings

import (
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"eiderfold/quota"
	"eiderfold/switches"
)

// Defaults of optional fields of a mesh node.
const (
	defaultMeshGrace   = 6 * time.Second // From SIGTERM until the platform kills the process.
	defaultRetryRatio  = 0.2             // Repeated attempts per request of the fleet.
	defaultRetrySlack  = 20              // Repeated attempts above the ratio.
	defaultFloorShare  = 0.7             // Of a service's gates, see FloorShare.
	defaultAcknowledge = 4 * time.Second
	defaultLimitWindow = 5 * time.Second // Window in which an account's requests are counted.
	defaultMemory      = 256             // Memory of the instance, in megabytes.
)

// The parts of an instance's memory, in eighths: three for the bodies of requests and answers together, and six for the
// process as a whole. A third of the smallest instance is for control; sockets, threads and what the runtime frees late
// need the rest.
const (
	memoryParts        = 8
	bodyMemoryParts    = 3
	processMemoryParts = 6
)

// minMeshGrace is the minimum grace period. It is longer than the margin that a
// node reserves before it is killed (killMargin of package mesh).
const minMeshGrace = time.Second

// meshFile is the YAML form of the settings of `eiderfold mesh`.
type meshFile struct {
	Node       string        `yaml:"node"`
	DataCentre string        `yaml:"data_centre"`
	Upstream   upstream      `yaml:"upstream"`
	Listen     meshListen    `yaml:"listen"`
	Store      string        `yaml:"store"`
	Fleet      fleet         `yaml:"fleet"`
	Retries    retries       `yaml:"retries"`
	Limits     accountLimits `yaml:"account_limits"`
	Stop       meshStop      `yaml:"stop"`
	Log        logFields     `yaml:"log"`
	// Off lists mechanisms to switch off, for measurements.
	Off []string `yaml:"off"`
	// Regions maps data centres to regions. Requests can be restricted to a region
	// only if it is set.
	Regions map[string]string `yaml:"regions"`
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// Memory is the memory of the instance in megabytes. Request bodies may use a
	// part of it.
	Memory int64 `yaml:"memory_mb"`
}

type upstream struct {
	Address string `yaml:"address"`
	Service string `yaml:"service"`
}

type meshListen struct {
	Callers string `yaml:"callers"`
	Links   string `yaml:"links"`
	// Advertise is the address at which other nodes reach Links, if it differs.
	Advertise string `yaml:"advertise"`
	Reports   string `yaml:"reports"`
	Ready     string `yaml:"ready"`
	Metrics   string `yaml:"metrics"`
}

type fleet struct {
	FloorShare  float64       `yaml:"floor_share"`
	Acknowledge time.Duration `yaml:"acknowledge"`
}

type retries struct {
	Ratio float64 `yaml:"ratio"`
	Slack float64 `yaml:"slack"`
}

// accountLimits is the tolerance above the limits of client accounts.
type accountLimits struct {
	Window time.Duration `yaml:"window"`
	Over   float64       `yaml:"over"`  // Fraction of a window's requests.
	Slack  float64       `yaml:"slack"` // Requests per window.
}

type meshStop struct {
	Grace time.Duration `yaml:"grace"`
}

// Mesh holds the validated settings of `eiderfold mesh`.
type Mesh struct{ file meshFile }

// LoadMesh reads and validates a settings file. The error lists every fault by field.
func LoadMesh(path string) (*Mesh, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseMesh(path, text)
}

// ParseMesh parses and validates the text of a settings file. The path is used for
// the error only.
func ParseMesh(path string, text []byte) (*Mesh, error) {
	m := &Mesh{}
	if err := yaml.UnmarshalWithOptions(text, &m.file, yaml.Strict()); err != nil {
		return nil, errors.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	m.defaults()
	if faults := m.check(); len(faults) > 0 {
		return nil, errors.Errorf("%s: %s", path, strings.Join(faults, "\n"+path+": "))
	}
	return m, nil
}

// Node returns the node's name.
func (m *Mesh) Node() string { return m.file.Node }

// DataCentre returns the data centre the node is in.
func (m *Mesh) DataCentre() string { return m.file.DataCentre }

// Upstream returns the IP:port of the upstream on the node's instance.
func (m *Mesh) Upstream() string { return m.file.Upstream.Address }

// Service returns the service that the upstream belongs to.
func (m *Mesh) Service() string { return m.file.Upstream.Service }

// Callers returns the IP:port for callers.
func (m *Mesh) Callers() string { return m.file.Listen.Callers }

// Links returns the IP:port for other nodes.
func (m *Mesh) Links() string { return m.file.Listen.Links }

// Advertised returns the IP:port at which other nodes reach this one.
func (m *Mesh) Advertised() string {
	if m.file.Listen.Advertise != "" {
		return m.file.Listen.Advertise
	}
	return m.file.Listen.Links
}

// Reports returns the IP:port for the upstream's heartbeats.
func (m *Mesh) Reports() string { return m.file.Listen.Reports }

// Ready returns the IP:port for readiness probes.
func (m *Mesh) Ready() string { return m.file.Listen.Ready }

// Metrics returns the IP:port for metrics and the state dump, or "" if not served.
func (m *Mesh) Metrics() string { return m.file.Listen.Metrics }

// Store returns the IP:port of the platform's store.
func (m *Mesh) Store() string { return m.file.Store }

// FloorShare returns the fraction of a service's gates that stay in use even if they
// are suspected. A gate is the part of a node that controls access to its upstream.
func (m *Mesh) FloorShare() float64 { return m.file.Fleet.FloorShare }

// AcknowledgeTimeout returns the maximum time to respond to an upstream's heartbeat.
func (m *Mesh) AcknowledgeTimeout() time.Duration { return m.file.Fleet.Acknowledge }

// Retries returns the fleet's limit on repeated attempts: a ratio of the requests,
// plus a fixed number.
func (m *Mesh) Retries() (ratio, slack float64) { return m.file.Retries.Ratio, m.file.Retries.Slack }

// AccountLimits returns the tolerance above the limits of client accounts.
func (m *Mesh) AccountLimits() quota.Bounds {
	l := m.file.Limits
	return quota.Bounds{Window: l.Window, Over: l.Over, Slack: l.Slack}
}

// Grace returns the time from SIGTERM until the platform kills the process.
func (m *Mesh) Grace() time.Duration { return m.file.Stop.Grace }

// Switches returns the set of enabled mechanisms.
func (m *Mesh) Switches() switches.Set {
	s, _ := switches.Off(m.file.Off...) // Validated by check.
	return s
}

// Regions returns the region of each data centre.
func (m *Mesh) Regions() map[string]string { return m.file.Regions }

// FirstStart reports whether the whole fleet starts for the first time. A node then
// registers before it reads the directory.
func (m *Mesh) FirstStart() bool { return m.file.FirstStart }

// BodyMemory returns the memory limit of the bodies of requests and answers together, in bytes.
func (m *Mesh) BodyMemory() int64 { return m.file.Memory << 20 / memoryParts * bodyMemoryParts }

// ProcessMemory returns the memory, in bytes, above which the process collects garbage more often than usual.
func (m *Mesh) ProcessMemory() int64 { return m.file.Memory << 20 / memoryParts * processMemoryParts }

// LogLevel returns the minimum level that is logged.
func (m *Mesh) LogLevel() string { return m.file.Log.Level }

// defaults sets the fields that are missing. A value of 0 counts as missing.
func (m *Mesh) defaults() {
	f := &m.file
	setDefaultDuration(&f.Stop.Grace, defaultMeshGrace)
	setDefaultDuration(&f.Fleet.Acknowledge, defaultAcknowledge)
	setDefaultDuration(&f.Limits.Window, defaultLimitWindow)
	if f.Memory == 0 {
		f.Memory = defaultMemory
	}
	setDefaultNumber(&f.Fleet.FloorShare, defaultFloorShare)
	setDefaultNumber(&f.Retries.Ratio, defaultRetryRatio)
	setDefaultNumber(&f.Retries.Slack, defaultRetrySlack)
	if f.Log.Level == "" {
		f.Log.Level = "info"
	}
}

func setDefaultDuration(field *time.Duration, defaultValue time.Duration) {
	if *field == 0 {
		*field = defaultValue
	}
}

func setDefaultNumber(field *float64, defaultValue float64) {
	if *field == 0 {
		*field = defaultValue
	}
}
