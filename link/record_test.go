package link

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A record that no node can have written must not be taken for one.
func TestOddRecordIsTakenForANode(t *testing.T) {
	good := Record{Member: Member{Name: "n", Address: "10.0.0.1:8146", DataCentre: "d", Service: "s"}, Version: 1767225600123}
	assert.NoError(t, good.Check())
	for why, change := range map[string]func(r *Record){
		"a version that wraps around": func(r *Record) { r.Version = math.MaxUint64 },
		"a version above all others":  func(r *Record) { r.Version = maxVersion },
		"no name":                     func(r *Record) { r.Name = "" },
		"no service":                  func(r *Record) { r.Service = "" },
		"no data centre":              func(r *Record) { r.DataCentre = "" },
		"a port out of range":         func(r *Record) { r.Address = "10.0.0.1:65536" },
		"a negative port":             func(r *Record) { r.Address = "10.0.0.1:-1" },
		"port 0":                      func(r *Record) { r.Address = "10.0.0.1:0" },
		"no port":                     func(r *Record) { r.Address = "10.0.0.1" },
		"no host":                     func(r *Record) { r.Address = ":8146" },
	} {
		odd := good
		change(&odd)
		assert.Error(t, odd.Check(), why)
	}
}
