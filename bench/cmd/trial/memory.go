package main

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"eiderfold/config"
	"eiderfold/core"
)

// measureInProcess measures quantities that need no other process.
func measureInProcess() []*slope {
	accounts := &slope{Role: "configuration", Quantity: "heap_kb", Per: "client account", Target: targetAccounts}
	for _, n := range []int{1000, 5000, 20_000, 50_000} {
		accounts.add(float64(n), accountHeap(n))
	}
	routes := &slope{Role: "configuration", Quantity: "heap_kb", Per: "route", Target: targetRoutes}
	for _, n := range []int{25, 50, 100, 200} {
		routes.add(float64(n), routeHeap(n))
	}
	claims := &slope{Role: "coordinator", Quantity: "heap_kb", Per: "keyed operation in the window", Target: targetClaims}
	for _, n := range []int{10_000, 50_000, 100_000, 200_000} {
		claims.add(float64(n), heapOf(func() any { return filledClaims(n) }))
	}
	evidence := &slope{Role: "coordinator", Quantity: "us_per_heartbeat_of_evidence", Per: "upstream with counts", Target: targetUpstreams}
	for _, n := range []int{5, 20, 50, 100} {
		evidence.add(float64(n), evidenceTime(n))
	}
	return []*slope{accounts, routes, claims, evidence}
}

const kilobyte = 1024

// runGC collects garbage twice: the second collection frees objects from sync.Pools.
func runGC() {
	runtime.GC()
	runtime.GC()
}

// heapOf returns the heap size, in kilobytes, of the value that build returns.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runGC()
	runtime.ReadMemStats(&before)
	value := build()
	runGC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / kilobyte
}

const accountTemplate = `template: t
parameters:
  - {name: timeout, type: duration, default: 2s, min: 1ms, max: 1m}
  - {name: office, type: text, required: true}
services:
  - name: s
    upstreams: 3
    floor: 2
    routes:
      - {name: r, pattern: "GET /r", operation: retryable, timeout: "${timeout}", headers: {X-Office: "${office}"}}
`

func accountHeap(n int) float64 {
	return heapOf(func() any {
		h := config.NewHolder()
		shards := map[string]*config.Shard{config.TemplateKey("t"): {}}
		shards[config.TemplateKey("t")].PutTemplate(config.Change{PublishID: "p"}, accountTemplate)
		for i := range n {
			name := fmt.Sprintf("municipality-%d", i)
			key := config.AccountKey("t", name)
			if shards[key] == nil {
				shards[key] = &config.Shard{}
			}
			shards[key].PutAccount(config.Change{PublishID: fmt.Sprint(i), Publisher: "team", At: time.Unix(0, 0)}, name, map[string]string{"office": fmt.Sprint(i)})
		}
		for _, key := range sortedKeys(shards) {
			value, err := shards[key].Encode()
			if err != nil {
				break // The shard exceeds the size limit of a value; the sizes here do not.
			}
			_, _ = h.Apply(key, value)
		}
		return h
	})
}

func routeHeap(n int) float64 {
	text := "template: t\nservices:\n  - name: s\n    upstreams: 3\n    floor: 2\n    routes:\n"
	for i := range n {
		text += fmt.Sprintf("      - {name: r%d, pattern: \"GET /part%d/{id}\", operation: retryable}\n", i, i)
	}
	return heapOf(func() any {
		t, err := config.ParseTemplate("t", []byte(text))
		if err != nil {
			return nil
		}
		return t
	})
}

func filledClaims(n int) *core.ClaimTable {
	c := core.NewClaimTable(time.Hour)
	at := time.Unix(1000, 0)
	c.Update(core.TakeOver{At: at, Epoch: 1})
	for i := range n {
		key := core.Key{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
		c.Update(core.Claim{At: at, Key: key, Body: 1, Holder: core.Holder{Node: "node-1", Incarnation: 1, Attempt: uint64(i)}})
	}
	return c
}

// evidenceTime returns the microseconds to process one node's evidence for n upstreams.
func evidenceTime(n int) float64 {
	const times = 2000
	d := core.NewOutlierDetector(core.Policy{Floor: n / 2, Sensitivity: 0.01})
	at := time.Unix(1000, 0)
	var names []string
	var counts []core.Count
	for i := range n {
		names = append(names, fmt.Sprintf("upstream-%d", i))
		counts = append(counts, core.Count{Upstream: names[i], Fast: 1})
	}
	d.Update(core.Members{At: at, Upstreams: names})
	d.Update(core.StartDeciding{At: at})
	started := time.Now()
	for range times {
		at = at.Add(time.Millisecond)
		d.Update(core.Evidence{At: at, Reporter: "n", Counts: counts})
	}
	return float64(time.Since(started).Microseconds()) / times
}

func sortedKeys(m map[string]*config.Shard) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
