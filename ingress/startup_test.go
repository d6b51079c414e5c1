package ingress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"eiderfold/route"
)

// After a restart of the whole fleet, requests must not be refused only because they arrive some
// round trips before the node's first configuration, nor be held if it does not come.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration // Until the configuration arrives.
		waited time.Duration
		ok     bool
	}{
		"soon":    {50 * time.Millisecond, 50 * time.Millisecond, true},
		"late":    {time.Second, startupWait, false},
		"already": {0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestForwarder()
				set := func() {
					f.SetTable(&route.Table{})
					f.SetTable(&route.Table{}) // A second version must not panic.
				}
				if c.after == 0 {
					set()
				} else {
					time.AfterFunc(c.after, set)
				}
				began := time.Now()
				assert.Equal(t, c.ok, f.awaitTable(context.Background(), began))
				assert.Equal(t, c.waited, time.Since(began))
				time.Sleep(2 * time.Second) // Lets the timer end.
			})
		})
	}
}
