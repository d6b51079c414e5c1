package mesh

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/port"
)

const (
	// nodesPrefix is where the records of nodes are in the store.
	nodesPrefix = "eiderfold/nodes/"
	// leaseTime is how long a record outlives its node. Who is alive is seen by
	// the links; the record only tells newcomers whom to ask.
	leaseTime = 60 * time.Second
	// renewEvery leaves two further tries before the lease ends.
	renewEvery = 18 * time.Second
	// readEvery is how often the directory is read again, for nodes that neither
	// side could reach when they started.
	readEvery = 60 * time.Second
	// storeRetry is the pause after a failed call, doubled up to storeRetryMost; a
	// lapsed record must be back within two seconds of the store's return.
	storeRetry     = 700 * time.Millisecond
	storeRetryMost = 1400 * time.Millisecond
)

// directory keeps this node's record in the store and reads the others'.
type directory struct {
	node    *Node
	lease   port.Lease
	renewAt time.Time // Zero to look after the record at once.
	readAt  time.Time
	retry   backoff
	wasRead atomic.Bool   // It has been read since the start.
	reached bool          // The last call to the store succeeded.
	regain  chan struct{} // The store answers again, as another part has seen.
	mu      sync.Mutex
	left    map[string]bool // Upstreams recorded as leaving by this process.
}

func newDirectory(n *Node) *directory {
	return &directory{node: n, left: map[string]bool{}, retry: backoff{least: storeRetry, most: storeRetryMost}, reached: true, regain: make(chan struct{}, 1)}
}

// run registers this node and keeps it registered until ctx ends.
func (d *directory) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := d.step(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-d.regain:
			d.renewAt = time.Time{}
		case <-time.After(pause):
		}
	}
}

// check makes the record be looked after at once: leases may have run out while
// the store was away.
func (d *directory) check() {
	select {
	case d.regain <- struct{}{}:
	default:
	}
}

// step does what is due and returns the pause until the next step.
func (d *directory) step(ctx context.Context, now time.Time) time.Duration {
	err := d.keep(ctx, now)
	if err == nil && !now.Before(d.readAt) {
		err = d.read(ctx)
		d.readAt = now.Add(jitter(readEvery))
	}
	d.note(ctx, err)
	if err != nil {
		d.readAt = time.Time{}
		return d.retry.next()
	}
	d.retry.reset()
	return max(time.Until(earlier(d.renewAt, d.readAt)), time.Millisecond)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// keep renews the lease, or registers anew if there is none any more.
func (d *directory) keep(ctx context.Context, now time.Time) error {
	if d.lease != 0 && now.Before(d.renewAt) {
		return nil
	}
	if d.lease != 0 {
		err := d.node.platform.Store.Renew(ctx, d.lease)
		if err == nil {
			d.renewAt = now.Add(jitter(renewEvery))
			return nil
		}
		if !errors.Is(err, port.ErrMissing) {
			return err
		}
		d.lease = 0
	}
	return d.register(ctx, now)
}

// register writes the record under a lease of its own, so that it goes with the node.
func (d *directory) register(ctx context.Context, now time.Time) error {
	lease, err := d.node.platform.Store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	value, err := json.Marshal(d.node.self)
	if err != nil {
		return errors.Wrap(err, "member")
	}
	if err := d.node.platform.Store.Put(ctx, nodesPrefix+d.node.self.Address, value, lease); err != nil {
		return err
	}
	d.lease = lease
	d.renewAt = now.Add(jitter(renewEvery))
	d.node.log.Info("registered", zap.Uint64("lease", uint64(lease)))
	return nil
}

// read learns the nodes whose records are there.
func (d *directory) read(ctx context.Context) error {
	entries, err := d.node.platform.Store.Range(ctx, nodesPrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		var m link.Member
		if err := json.Unmarshal(e.Value, &m); err != nil || m.Address == "" {
			d.node.log.Warn("directory record cannot be read", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		d.node.links.learn(m)
	}
	d.wasRead.Store(true)
	return nil
}

// note logs when the store is lost or regained.
func (d *directory) note(ctx context.Context, err error) {
	if (err == nil) == d.reached || ctx.Err() != nil {
		return
	}
	d.reached = err == nil
	if err != nil {
		d.node.log.Warn("store lost", zap.Error(err))
		return
	}
	d.node.log.Info("store regained")
}

// end gives up this node's record.
func (d *directory) end(ctx context.Context) {
	if d.lease == 0 {
		return
	}
	if err := d.node.platform.Store.End(ctx, d.lease); err != nil {
		d.node.log.Info("record not withdrawn; it lapses", zap.Error(err))
	}
}
