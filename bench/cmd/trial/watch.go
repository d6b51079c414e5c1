package main

import (
	"context"
	"strings"
	"sync"
	"time"

	"eiderfold/bench/fleet"
	"eiderfold/node"
)

const (
	watchPeriod  = 100 * time.Millisecond
	neverOutside = 0.01
)

// watcher looks at every node's dump over and over: who is out, and rightly so?
type watcher struct {
	fleet    *fleet.Fleet
	mu       sync.Mutex
	guilty   map[string]bool // Upstreams that are sick, or were before.
	out      map[string]bool
	wrong    int
	lost     float64 // Healthy upstream-seconds, by share of the nodes that hold it out.
	breaches int
}

func newWatcher(f *fleet.Fleet) *watcher {
	return &watcher{fleet: f, guilty: map[string]bool{}, out: map[string]bool{}}
}

// sick says who is sick from now on.
func (w *watcher) sick(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range names {
		w.guilty[u] = true
	}
}

func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		views := w.look()
		now := time.Now()
		w.take(views, now.Sub(last))
		last = now
	}
}

// look asks all nodes at the same time who is out in their view.
func (w *watcher) look() []map[string]bool {
	views := make([]map[string]bool, len(w.fleet.Nodes))
	var asking sync.WaitGroup
	for i, n := range w.fleet.Nodes {
		if !n.Running() {
			continue
		}
		asking.Go(func() {
			if d, err := w.fleet.Dump(n); err == nil {
				views[i] = outIn(d.Groups[w.fleet.Deployment.Name])
			}
		})
	}
	asking.Wait()
	return views
}

func outIn(g node.GroupDump) map[string]bool {
	out := map[string]bool{}
	for _, s := range g.Services {
		for _, u := range s.Upstreams {
			if u.Phase == "out" || u.Phase == "trial" || u.Avoid < neverOutside {
				out[u.Name] = true
			}
		}
	}
	return out
}

func (w *watcher) take(views []map[string]bool, passed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	union, answered := map[string]bool{}, 0
	for _, v := range views {
		if v == nil {
			continue
		}
		answered++
		for u := range v {
			union[u] = true
		}
	}
	for _, v := range views {
		for u := range v {
			if !w.guilty[u] {
				w.lost += passed.Seconds() / float64(answered)
			}
		}
	}
	for u := range union {
		if !w.out[u] && !w.guilty[u] {
			w.wrong++
		}
	}
	w.out = union
	w.countBreaches(union)
}

// countBreaches counts an upstream as out when any node holds it out.
func (w *watcher) countBreaches(union map[string]bool) {
	for _, s := range w.fleet.Deployment.Services {
		out := 0
		for u := range union {
			if strings.HasPrefix(u, s.Name+"-") {
				out++
			}
		}
		if out > s.Upstreams-s.Floor {
			w.breaches++
		}
	}
}

// usage is what the nodes used.
type usage struct {
	cpu  []float64 // Seconds of processor time by node; a share of a core after since.
	rss  []float64 // MB.
	sent []float64 // Bytes of control messages; a second after since.
}

func measure(f *fleet.Fleet) usage {
	var u usage
	for _, n := range f.Nodes {
		cpu, rss := fleet.Usage(n.PID())
		u.cpu, u.rss = append(u.cpu, cpu), append(u.rss, rss)
		d, err := f.Dump(n)
		if err != nil {
			d = node.Dump{}
		}
		u.sent = append(u.sent, float64(d.SentBytes+d.Received))
	}
	return u
}

func (u usage) since(before usage, passed time.Duration) usage {
	for i := range u.cpu {
		u.cpu[i] = (u.cpu[i] - before.cpu[i]) / passed.Seconds()
		u.sent[i] = (u.sent[i] - before.sent[i]) / passed.Seconds()
	}
	return u
}
