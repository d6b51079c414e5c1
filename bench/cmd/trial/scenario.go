package main

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"eiderfold/bench/standin"
)

// scenario is a data file: a load, and what goes wrong during it.
type scenario struct {
	Name    string        `yaml:"name"`
	Service int           `yaml:"service"` // Index of the deployment's service that suffers.
	Rate    float64       `yaml:"rate"`    // Requests a second for each upstream.
	Keyed   float64       `yaml:"keyed"`   // Share of keyed operations.
	Twice   float64       `yaml:"twice"`   // Share of those that are sent through two nodes at once.
	Warm    time.Duration `yaml:"warm"`
	Rounds  int           `yaml:"rounds"`
	Sick    time.Duration `yaml:"sick"`
	Rest    time.Duration `yaml:"rest"`
	// Victims is how many upstreams are sick in a round; the next round takes the
	// next ones. -1 is the whole service.
	Victims int       `yaml:"victims"`
	Mode    modeFile  `yaml:"mode"`
	Links   []linkCut `yaml:"links"`
	Sigma   float64   `yaml:"sigma"` // Spread of answer times, if not the deployment's.
	// Work is the median time of a piece of work, if not the deployment's.
	Work time.Duration `yaml:"work"`
	// Blameless says that ejecting a victim is wrong too.
	Blameless bool `yaml:"blameless"`
	// Platform is what is wrong with the platform during the rounds.
	Platform platformFile `yaml:"platform"`
	// DataCentre is cut off from all others during the rounds.
	DataCentre string `yaml:"data_centre"`
	// Replace kills the victims and starts them again, cold.
	Replace bool `yaml:"replace"`
	// Node is done to nodes in turn, one a round: kill, stop or pause.
	Node string `yaml:"node"`
}

type modeFile struct {
	FailShare  float64       `yaml:"fail_share"`
	SlowFactor float64       `yaml:"slow_factor"`
	Hang       bool          `yaml:"hang"`
	Cut        float64       `yaml:"cut"`
	FlapPeriod time.Duration `yaml:"flap_period"`
	Shed       bool          `yaml:"shed"`
	Leaving    bool          `yaml:"leaving"`
	BadCaller  string        `yaml:"bad_caller"`
	Cold       time.Duration `yaml:"cold"`
}

// linkCut bends links of one node: to the round's victims or to other nodes.
type linkCut struct {
	Node   int           `yaml:"node"` // From 1; 0 is every node.
	To     string        `yaml:"to"`   // victims or nodes.
	CutOut bool          `yaml:"cut_out"`
	CutIn  bool          `yaml:"cut_in"`
	Reset  bool          `yaml:"reset"`
	Delay  time.Duration `yaml:"delay"`
	Half   int           `yaml:"half"`
}

type platformFile struct {
	Out bool `yaml:"out"`
}

func readScenario(path string) (*scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	s := &scenario{}
	if err := yaml.UnmarshalWithOptions(text, s, yaml.Strict()); err != nil {
		return nil, errors.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return s, nil
}

func (m modeFile) mode() standin.Mode {
	return standin.Mode{
		FailShare: m.FailShare, SlowFactor: m.SlowFactor, Hang: m.Hang, Cut: m.Cut,
		FlapPeriod: m.FlapPeriod, Shed: m.Shed, Leaving: m.Leaving, BadCaller: m.BadCaller, Cold: m.Cold,
	}
}

// length is how long the load lasts.
func (s *scenario) length() time.Duration {
	return s.Warm + time.Duration(s.Rounds)*(s.Sick+s.Rest)
}
