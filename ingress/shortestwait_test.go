package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/link"
)

// TestShortestWait guards against refusing requests for want of room that is not known to be missing.
func TestShortestWait(t *testing.T) {
	now := time.Unix(1000, 0)
	full := func(wait time.Duration) *link.Room { return &link.Room{Wait: wait} }
	for _, c := range []struct {
		name  string
		modes string
		rooms []*link.Room // By gate; nil for unknown.
		wait  time.Duration
		known bool
	}{
		{"nothing reported", "OOOO", []*link.Room{nil, nil, nil, nil}, 0, false},
		{"two of four full", "OOOO", []*link.Room{full(time.Second), full(time.Second), nil, nil}, 0, false},
		{"three of four full", "OOoo", []*link.Room{full(time.Second), full(300 * time.Millisecond), full(time.Second), nil}, 300 * time.Millisecond, true},
		{"both full", "OO", []*link.Room{full(time.Second), full(time.Second)}, time.Second, true},
		{"one is free", "OOOO", []*link.Room{full(time.Second), nil, nil, {Free: 1}}, 0, true},
		{"the free one is on trial", "OOOT", []*link.Room{full(time.Second), full(time.Second), full(time.Second), {Free: 1}}, time.Second, true},
		{"none is open", "TC", []*link.Room{full(time.Second), full(time.Second)}, 0, false},
	} {
		endpoints, all := gates(c.modes)
		for i, room := range c.rooms {
			if room != nil {
				all[i].noteRoom(room, false, now)
			}
		}
		wait, known := endpoints.ShortestWait("a", now)
		assert.Equal(t, c.wait, wait, c.name)
		assert.Equal(t, c.known, known, c.name)
		_, known = endpoints.ShortestWait("a", now.Add(roomTTL))
		assert.False(t, known, "%s, a second later", c.name)
	}
	_, known := NewEndpoints("near", 0.7).ShortestWait("a", now)
	assert.False(t, known, "an unknown service")
}
