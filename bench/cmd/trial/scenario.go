package main

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"eiderfold/bench/standin"
)

// scenario describes a load and the faults during it. It is read from a YAML file.
type scenario struct {
	Name           string        `yaml:"name"`
	Service        int           `yaml:"service"` // Index of the deployment's service that has the faults.
	Rate           float64       `yaml:"rate"`    // Requests a second for each upstream.
	KeyedShare     float64       `yaml:"keyed"`   // Share of keyed operations.
	DuplicateShare float64       `yaml:"twice"`   // Share of those that are sent twice in a row, to random nodes.
	Warmup         time.Duration `yaml:"warm"`
	Rounds         int           `yaml:"rounds"`
	FaultFor       time.Duration `yaml:"sick"`
	Recovery       time.Duration `yaml:"rest"`
	// Victims is the number of upstreams that are faulty in a round. The next round
	// selects the next ones; -1 selects the whole service.
	Victims int       `yaml:"victims"`
	Mode    modeFile  `yaml:"mode"`
	Links   []linkCut `yaml:"links"`
	Sigma   float64   `yaml:"sigma"` // Standard deviation of the logarithm of work times, if it differs from the deployment's.
	// Work is the median work time of a request, if it differs from the deployment's.
	Work time.Duration `yaml:"work"`
	// NoEjection makes ejections of victims count as false.
	NoEjection bool `yaml:"blameless"`
	// Platform is the fault of the platform during the rounds.
	Platform platformFile `yaml:"platform"`
	// DataCentre is the data centre that is cut off from all others during the rounds.
	DataCentre string `yaml:"data_centre"`
	// Replace restarts the victims, which makes them cold.
	Replace bool `yaml:"replace"`
	// NodeFault is a fault of one node in each round, in turn: kill, stop or pause.
	NodeFault string `yaml:"node"`
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

// linkCut is a fault of a node's links to the round's victims or to other nodes.
type linkCut struct {
	Node   int           `yaml:"node"` // Counted from 1; 0 for every node.
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
		FailShare: m.FailShare, SlowFactor: m.SlowFactor, Hang: m.Hang, TruncateShare: m.Cut,
		FlapPeriod: m.FlapPeriod, Shed: m.Shed, Leaving: m.Leaving, FailingAccount: m.BadCaller, ColdPeriod: m.Cold,
	}
}

// length returns the duration of the load.
func (s *scenario) length() time.Duration {
	return s.Warmup + time.Duration(s.Rounds)*(s.FaultFor+s.Recovery)
}
