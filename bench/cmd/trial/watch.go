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
	watchPeriod   = 100 * time.Millisecond
	ejectedWeight = 0.01 // A node that weights an upstream lower counts as having ejected it.
)

// watcher polls the dumps of all nodes and counts ejections that are wrong or breach the
// floor.
type watcher struct {
	fleet          *fleet.Fleet
	mu             sync.Mutex
	faulty         map[string]bool // Upstreams that are or were faulty.
	ejected        map[string]bool
	falseEjections int
	healthyLost    float64 // Healthy upstream-seconds lost, weighted by the share of nodes that ejected it.
	floorBreaches  int
}

func newWatcher(f *fleet.Fleet) *watcher {
	return &watcher{fleet: f, faulty: map[string]bool{}, ejected: map[string]bool{}}
}

// markFaulty marks upstreams as faulty from now on.
func (w *watcher) markFaulty(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range names {
		w.faulty[u] = true
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
		views := w.poll()
		now := time.Now()
		w.update(views, now.Sub(last))
		last = now
	}
}

// poll returns, for each node, the upstreams that it has ejected; nil for a node that does
// not run or respond. It queries all nodes concurrently.
func (w *watcher) poll() []map[string]bool {
	views := make([]map[string]bool, len(w.fleet.Nodes))
	var asking sync.WaitGroup
	for i, n := range w.fleet.Nodes {
		if !n.Running() {
			continue
		}
		asking.Go(func() {
			if d, err := w.fleet.Dump(n); err == nil {
				views[i] = ejectedIn(d.Groups[w.fleet.Deployment.Name])
			}
		})
	}
	asking.Wait()
	return views
}

func ejectedIn(g node.GroupDump) map[string]bool {
	ejected := map[string]bool{}
	for _, s := range g.Services {
		for _, u := range s.Upstreams {
			if u.Phase == "out" || u.Phase == "trial" || u.OwnWeight < ejectedWeight {
				ejected[u.Name] = true
			}
		}
	}
	return ejected
}

func (w *watcher) update(views []map[string]bool, passed time.Duration) {
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
			if !w.faulty[u] {
				w.healthyLost += passed.Seconds() / float64(answered)
			}
		}
	}
	for u := range union {
		if !w.ejected[u] && !w.faulty[u] {
			w.falseEjections++
		}
	}
	w.ejected = union
	w.countBreaches(union)
}

// countBreaches counts breaches of the floors. An upstream counts as ejected if any node
// has ejected it.
func (w *watcher) countBreaches(union map[string]bool) {
	for _, s := range w.fleet.Deployment.Services {
		ejected := 0
		for u := range union {
			if strings.HasPrefix(u, s.Name+"-") {
				ejected++
			}
		}
		if ejected > s.Upstreams-s.Floor {
			w.floorBreaches++
		}
	}
}

// usage holds the resource usage of the nodes, in their order.
type usage struct {
	cpu  []float64 // CPU seconds; share of a core in the result of since.
	rss  []float64 // MB.
	sent []float64 // Bytes of control messages, sent and received; a second in the result of since.
}

func measureUsage(f *fleet.Fleet) usage {
	var u usage
	for _, n := range f.Nodes {
		cpu, rss := fleet.Usage(n.PID())
		u.cpu, u.rss = append(u.cpu, cpu), append(u.rss, rss)
		d, err := f.Dump(n)
		if err != nil {
			d = node.Dump{}
		}
		u.sent = append(u.sent, float64(d.SentBytes+d.ReceivedBytes))
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
