package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/link"
	"eiderfold/route"
)

// herd returns as many nodes as given, whose only near gates are full and that all know one far gate with
// two free slots.
func herd(nodes int, toAll bool, random *rand.Rand) []*Endpoints {
	now := time.Unix(1000, 0)
	var out []*Endpoints
	for range nodes {
		endpoints, all := gates("OOOo")
		endpoints.draw = random.Float64
		for _, n := range all[:3] {
			n.noteRoom(&link.Room{Wait: time.Second}, false, now)
		}
		all[3].noteRoom(&link.Room{Free: 2}, toAll, now)
		for range nodes - len(all) { // The other nodes of the fleet, with a service of their own.
			endpoints.Add(NewEndpoint(link.Member{Service: "b"}))
		}
		out = append(out, endpoints)
	}
	return out
}

// TestSpillAvoidsHerding guards against sending many requests at once to a gate whose few free slots many
// nodes know, however many requests each of them has.
func TestSpillAvoidsHerding(t *testing.T) {
	for _, toAll := range []bool{true, false} {
		sum, runs := 0, 50
		for seed := range runs {
			sent := 0
			for _, endpoints := range herd(100, toAll, rand.New(rand.NewPCG(uint64(seed), 1))) {
				for range 10 {
					c := endpoints.choose(criteria{service: "a", maxLocalWait: 100 * time.Millisecond, nearOnly: true}, time.Unix(1000, 0))
					if c.spilled {
						c.endpoint.noteOffered()
						sent++
					}
				}
			}
			assert.LessOrEqual(t, sent, 8, "seed %d", seed)
			sum += sent
		}
		assert.InDelta(t, 2, float64(sum)/float64(runs), 0.7, "offers on average, as many as there are slots")
	}
}

// TestSpill guards against crossings that gain nothing: a request must be offered to another data centre
// at once only if the own one is known to be full and the other one to have room.
func TestSpill(t *testing.T) {
	now := time.Unix(1000, 0)
	full, busy := &link.Room{Wait: time.Second}, &link.Room{Wait: 50 * time.Millisecond}
	for _, c := range []struct {
		name  string
		local []*link.Room
		far   *link.Room
		limit time.Duration
		want  bool
	}{
		{"long waits", []*link.Room{full, full, full}, &link.Room{Free: 4}, 100 * time.Millisecond, true},
		{"a short wait", []*link.Room{full, full, busy}, &link.Room{Free: 4}, 100 * time.Millisecond, false},
		{"one may be free", []*link.Room{full, full, nil}, &link.Room{Free: 4}, 100 * time.Millisecond, false},
		{"nothing known elsewhere", []*link.Room{full, full, full}, nil, 100 * time.Millisecond, false},
		{"one free slot", []*link.Room{full, full, full}, &link.Room{Free: 1}, 100 * time.Millisecond, false},
		{"no target, or mechanism off", []*link.Room{full, full, full}, &link.Room{Free: 4}, 0, false},
	} {
		endpoints, all := gates("OOOo")
		endpoints.draw = func() float64 { return 0.99 }
		for i, room := range append(c.local, c.far) {
			if room != nil {
				all[i].noteRoom(room, false, now)
			}
		}
		got := endpoints.choose(criteria{service: "a", maxLocalWait: c.limit}, now)
		assert.Equal(t, c.want, got.spilled, c.name)
		assert.Equal(t, c.want, got.endpoint == all[3], c.name)
	}
}

// TestMaxLocalWait guards against spilling over by requests that have no target or already wait in a queue.
func TestMaxLocalWait(t *testing.T) {
	now := time.Unix(1000, 0)
	endpoints, _ := gates("O")
	f := &inFlightRequest{forwarder: &Forwarder{endpoints: endpoints}, route: &route.Route{Target: time.Second}, arrived: now}
	assert.Equal(t, 150*time.Millisecond, f.maxLocalWait(now))
	assert.Positive(t, f.maxLocalWait(now.Add(time.Second)))
	f.offers = []*offer{{state: waiting}}
	assert.Zero(t, f.maxLocalWait(now))
	f.offers, f.route = nil, &route.Route{}
	assert.Zero(t, f.maxLocalWait(now))
}

// BenchmarkChoose measures a selection among two dozen gates here and as many elsewhere, all full but one.
func BenchmarkChoose(b *testing.B) {
	endpoints, all := gates("OOOOOOOOOOOOOOOOOOOOOOOOoooooooooooooooooooooooo")
	now := time.Unix(1000, 0)
	for i, n := range all {
		n.noteRoom(&link.Room{Free: 4 * (i / (len(all) - 1)), Wait: time.Second}, false, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		endpoints.choose(criteria{service: "a", maxLocalWait: 100 * time.Millisecond}, now)
	}
}
