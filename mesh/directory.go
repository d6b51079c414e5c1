package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/membership"
	"eiderfold/port"
)

const (
	// recordsPrefix is the store prefix of this fleet's records: those of nodes, of leaving
	// upstreams and of quarantined requests.
	recordsPrefix = "eiderfold/"
	nodesPrefix   = recordsPrefix + "nodes/"
	// checkRecordEvery is how often a node checks that its record exists, in case somebody
	// removed it by hand.
	checkRecordEvery = 5 * time.Minute
	// storeRetry is the pause after a failed call, doubled up to storeRetryMax.
	storeRetry    = 700 * time.Millisecond
	storeRetryMax = 1400 * time.Millisecond
	// loadPoll is the interval at which waiting goroutines check whether the directory has
	// been read.
	loadPoll = 10 * time.Millisecond
	// minContacts is how many other nodes a starting node has to find in the store to rely
	// on them for all others. With fewer it reads once more, from the beginning, unless it
	// learns of enough others within contactsTimeout, as it does when many nodes start at
	// once.
	minContacts     = 8
	contactsTimeout = 250 * time.Millisecond
	// restoreSpread is the time over which nodes spread the checks of their records after
	// the store was restored. A whole fleet at once would exceed the store's rate limit.
	restoreSpread = 1 * time.Second
)

// errNotLoaded is returned while the store is unreachable and the directory was never read.
var errNotLoaded = errors.New("the directory has not been read")

// directory keeps this node's record in the store and reads some records of others. A
// record has no lease: liveness is observed on the links, and a record only gives new nodes
// somebody to contact. So nothing has to be renewed, nothing expires while the store is
// down, and a restarted node finds its record in place. The record of a node that is gone
// for good is removed by the first of the removers that forget it.
//
// Records are ordered by a hash of their addresses. A node reads a page, starting at its
// own record: the page holds that record, the leaving upstreams recorded for this node, and
// some hundred nodes that are effectively random. It reads on while it lacks records of its own
// or knows too few nodes. Nodes found this way send the rest of the
// membership, so a start needs as many calls in a large fleet as in a small one.
type directory struct {
	node         *Node
	initialized  bool
	retry        backoff
	loaded       atomic.Bool          // The leaving upstreams recorded by this node are known.
	discovered   atomic.Bool          // The store has no more contacts to offer, or enough were found.
	storeLost    atomic.Bool          // The last call to the store failed.
	upstreamGone atomic.Bool          // The local upstream has terminated for good.
	reportFailed atomic.Bool          // The last report of a leaving upstream could not be recorded.
	restored     chan struct{}        // Signals that the store may have lost this node's records.
	firstRead    map[string]time.Time // When each record of a leaving upstream was first read.
	mu           sync.Mutex
	leaving      map[string]leavingRecord // Records of incarnations of the local upstream, by key segment.
}

func newDirectory(n *Node) *directory {
	return &directory{node: n, leaving: map[string]leavingRecord{}, firstRead: map[string]time.Time{}, restored: make(chan struct{}, 1),
		retry: backoff{min: storeRetry, max: storeRetryMax}}
}

// run registers this node, reads the directory, and maintains the node's own records until
// ctx ends.
func (d *directory) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := d.step(ctx)
		select {
		case <-ctx.Done():
		case <-d.restored:
			pause = time.Duration(rand.Float64() * float64(restoreSpread))
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		case <-time.After(pause):
		}
	}
}

// restore triggers a check of the own records, which rewrites missing ones.
func (d *directory) restore() { wake(d.restored) }

// step performs the next call and returns the pause until the following one.
func (d *directory) step(ctx context.Context) time.Duration {
	var err error
	if d.initialized {
		err = d.check(ctx)
	} else {
		err = d.initialize(ctx)
	}
	d.logStoreState(ctx, err)
	if err != nil {
		return d.retry.next()
	}
	d.initialized = true
	d.retry.reset()
	return jitter(checkRecordEvery)
}

// initialize reads a page of the directory and registers this node. On the first start of a
// whole fleet it registers before it reads, as otherwise no node would find another;
// elsewhere it reads first, as a restarted node finds its record in place.
func (d *directory) initialize(ctx context.Context) error {
	if d.node.settings.Load().FirstStart() {
		if err := d.register(ctx); err != nil {
			return err
		}
	}
	own := nodesPrefix + addressHash(d.node.self.Address)
	registered, more, at, err := d.readFrom(ctx, own, own)
	if err != nil {
		return err
	}
	if !registered {
		if err := d.register(ctx); err != nil {
			return err
		}
	}
	d.node.noteEra(at.Era)
	d.loaded.Store(true)
	d.node.links.update(membership.Ticked{At: time.Now()}) // Dial the found nodes without waiting for a tick.
	if !more {
		if err := d.findMore(ctx); err != nil {
			return err
		}
	}
	d.discovered.Store(true)
	return nil
}

// readFrom applies the records behind a key: those whose keys begin with own, and others until the node knows enough. It
// reports whether this node's own record is among them and up to date, and whether there are more.
func (d *directory) readFrom(ctx context.Context, after, own string) (registered, more bool, at port.StoreRevision, err error) {
	for {
		var entries []port.Entry
		entries, more, at, err = d.node.platform.Store.Page(ctx, nodesPrefix, after)
		if err != nil {
			return registered, more, at, err
		}
		registered = d.read(ctx, entries) || registered
		if !more || len(entries) == 0 {
			return registered, false, at, nil
		}
		after = entries[len(entries)-1].Key
		if !strings.HasPrefix(after, own) && d.node.links.fleetSize() > minContacts {
			return registered, true, at, nil
		}
	}
}

// findMore reads from the beginning if too few other nodes are known after contactsTimeout.
func (d *directory) findMore(ctx context.Context) error {
	for until := time.Now().Add(contactsTimeout); d.node.links.fleetSize() <= minContacts; {
		if time.Now().Before(until) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(loadPoll):
			}
			continue
		}
		if _, _, _, err := d.readFrom(ctx, nodesPrefix, nodesPrefix+addressHash(d.node.self.Address)); err != nil {
			return err
		}
		d.node.links.update(membership.Ticked{At: time.Now()})
		break
	}
	return nil
}

// check rewrites this node's records if they are missing: the store may have been restored
// from a copy, or somebody removed them.
func (d *directory) check(ctx context.Context) error {
	entries, at, err := d.node.platform.Store.Range(ctx, nodeKey(d.node.self.Address))
	if err != nil {
		return err
	}
	d.node.noteEra(at.Era)
	if !d.read(ctx, entries) {
		if err := d.register(ctx); err != nil {
			return err
		}
	}
	return d.restoreLeaving(ctx, entries)
}

// read applies records, and reports whether this node's own record is among them and up to
// date.
func (d *directory) read(ctx context.Context, entries []port.Entry) (registered bool) {
	var records []link.Record
	var leaving []leavingRecord
	for _, e := range entries {
		segment, leaves := strings.CutPrefix(e.Key, d.leavingPrefix())
		if leaves {
			leaving = append(leaving, leavingRecord{segment: segment, at: decodeLeaving(e.Value, time.Now())})
			continue
		}
		if strings.Contains(e.Key, leavingSegment) {
			continue // A leaving upstream of another node.
		}
		r, err := decodeRecord(e)
		if err != nil {
			d.node.metrics.Count("records_unreadable")
			d.node.log.Warn("cannot decode directory record", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		registered = registered || r.Member == d.node.self
		if r.Address != d.node.self.Address {
			records = append(records, r)
		}
	}
	d.node.links.learn(records...)
	d.noteLeavingRecords(ctx, leaving, time.Now())
	return registered
}

// decodeRecord parses and validates a node's record.
func decodeRecord(e port.Entry) (link.Record, error) {
	var r link.Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, errors.Wrap(err, "record")
	}
	if e.Key != nodeKey(r.Address) {
		return r, errors.New("record: the key does not match the address")
	}
	return r, r.Check()
}

// nodeKey returns the store key of a node's record.
func nodeKey(address string) string { return nodesPrefix + addressHash(address) + "/" + address }

// addressHash returns the hash by which records are ordered.
func addressHash(address string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(address)) }

// register writes this node's record.
func (d *directory) register(ctx context.Context) error {
	value, err := json.Marshal(d.node.links.self())
	if err != nil {
		return errors.Wrap(err, "record")
	}
	key := nodeKey(d.node.self.Address)
	if err := d.node.platform.Store.Put(ctx, key, value); err != nil {
		return err
	}
	d.node.log.Info("registered", zap.String("key", key))
	return nil
}

// logStoreState logs when the store becomes unreachable or reachable again.
func (d *directory) logStoreState(ctx context.Context, err error) {
	if ctx.Err() != nil || d.storeLost.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		d.node.log.Warn("store lost", zap.Error(err))
		return
	}
	d.node.log.Info("store regained")
}

// removeRecord removes the record of a node that has been unreachable for forgetAfter. If
// the node is in fact alive, another node notifies it, and it writes its record again.
func (d *directory) removeRecord(m link.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), lastCallTimeout)
	defer cancel()
	err := d.node.platform.Store.Remove(ctx, nodeKey(m.Address))
	d.node.log.Info("record removed", zap.String("node", m.Name), zap.String("address", m.Address), zap.Error(err))
}

// removeSelf removes this node's record if the local upstream has terminated, as its
// instance goes away with it. Otherwise the node is only restarted and finds its record in
// place.
func (d *directory) removeSelf(ctx context.Context) {
	if !d.upstreamGone.Load() {
		return
	}
	d.node.links.leave()
	if err := d.node.platform.Store.Remove(ctx, nodeKey(d.node.self.Address)); err != nil {
		d.node.log.Info("own record not removed; other nodes remove it when they forget this node", zap.Error(err))
	}
}
