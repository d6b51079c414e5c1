package mesh

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/quarantine"
)

const (
	// quarantineBatchDelay is how long records are collected before they are sent: when an
	// upstream crashes, all its requests in flight fail in the same millisecond.
	quarantineBatchDelay = 2 * time.Millisecond
	// quarantineTickEvery is the interval at which expired records are looked for.
	quarantineTickEvery = 1 * time.Minute
)

// quarantineSync replicates the records of requests that crash upstreams: it executes the
// commands of the tracker. Quarantined requests are also written to the store, in case all
// processes of a fleet are killed.
type quarantineSync struct {
	node      *Node
	tracker   *quarantine.SharedTracker
	mu        sync.Mutex
	broadcast []quarantine.Record // To be sent to all linked nodes.
	gossip    []quarantine.Record // To be sent to some random nodes.
	writes    []func(ctx context.Context) error
	stored    map[quarantine.Fingerprint]bool // Quarantined requests seen in the store.
	era       uint64                          // Era of the store at that read.
	sendDue   chan struct{}                   // Signals records to send.
	writeDue  chan struct{}                   // Signals queued writes.
	// restored signals that the store may have lost records.
	restored chan struct{}
}

func newQuarantineSync(n *Node) *quarantineSync {
	q := &quarantineSync{node: n, stored: map[quarantine.Fingerprint]bool{}, sendDue: make(chan struct{}, 1), writeDue: make(chan struct{}, 1), restored: make(chan struct{}, 1)}
	q.tracker = quarantine.NewSharedTracker(q.execute)
	return q
}

// execute queues the commands of the tracker for run and write.
func (q *quarantineSync) execute(commands []quarantine.Command) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range commands {
		switch c := c.(type) {
		case quarantine.Broadcast:
			q.broadcast = append(q.broadcast, c.Record)
		case quarantine.Relay:
			q.gossip = append(q.gossip, c.Record)
		case quarantine.Quarantined:
			q.handleQuarantined(c)
		case quarantine.Release:
			q.release(c)
		}
	}
	wake(q.sendDue)
}

// wake signals a goroutine to look for work. A full channel already holds a signal.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// enqueue queues a write to the store. The lock must be held.
func (q *quarantineSync) enqueue(write func(ctx context.Context) error) {
	q.writes = append(q.writes, write)
	wake(q.writeDue)
}

// handleQuarantined logs that a request is quarantined, and queues its record for the store if it
// crashed the local upstream. In the log, a quarantined request is "held", "ended" lists the
// crashed upstreams, "holds" counts the quarantines and "hold" is the remaining time.
func (q *quarantineSync) handleQuarantined(c quarantine.Quarantined) {
	q.node.log.Warn("request held", zap.Stringer("request", c.Record.Fingerprint), zap.Strings("ended", c.Record.Crashed),
		zap.Uint32("holds", c.Record.Quarantines), zap.Duration("hold", c.Record.Remaining), zap.Bool("own", c.Own))
	if c.Own {
		record := newStoredRecord(c.Record, time.Now())
		q.enqueue(func(ctx context.Context) error { return q.put(ctx, c.Record.Fingerprint, record) })
	}
}

// release logs that a request is no longer quarantined, and queues the removal of its
// record if this node cleared the request, or stored the record and it has expired.
func (q *quarantineSync) release(c quarantine.Release) {
	q.node.log.Info("request released", zap.Stringer("request", c.Fingerprint), zap.String("cause", c.Cause))
	delete(q.stored, c.Fingerprint)
	if c.Own {
		q.enqueue(func(ctx context.Context) error { return q.remove(ctx, c.Fingerprint) })
	}
}

// run sends records and writes to the store until ctx ends.
func (q *quarantineSync) run(ctx context.Context) {
	go q.write(ctx)
	go q.poll(ctx)
	t := time.NewTicker(quarantineTickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			q.tracker.Tick(now)
		case <-q.sendDue:
			time.Sleep(quarantineBatchDelay)
			q.send()
		}
	}
}

// send sends records of this node's own observations to all linked nodes, and those
// received from others to enough random nodes to reach all.
func (q *quarantineSync) send() {
	q.mu.Lock()
	broadcast, gossip := q.broadcast, q.gossip
	q.broadcast, q.gossip = nil, nil
	q.mu.Unlock()
	if len(broadcast) > 0 {
		for _, to := range q.node.links.allLinks() {
			to.Send(&link.Frame{Quarantine: broadcast})
		}
	}
	if len(gossip) > 0 {
		for _, to := range q.node.links.randomLinks(q.node.links.gossipFanout(), anyPeer) {
			to.Send(&link.Frame{Quarantine: gossip})
		}
	}
}

// sendSignificant sends the records that every node needs over a new link.
func (q *quarantineSync) sendSignificant(to *link.Link) {
	if records := q.tracker.Significant(time.Now()); len(records) > 0 {
		to.Send(&link.Frame{Quarantine: records})
	}
}

// receive applies records from another node.
func (q *quarantineSync) receive(records []quarantine.Record) {
	q.tracker.Merge(time.Now(), records...)
}
