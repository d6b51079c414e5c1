package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/port"
)

const (
	// recordsPrefix is where this fleet's records are in the store: those of nodes, and
	// those of upstreams that leave.
	recordsPrefix = "eiderfold/"
	nodesPrefix   = recordsPrefix + "nodes/"
	// readEvery is how often the directory is read again, for nodes that neither side
	// could reach when they started, and to find a record of the own that was removed.
	// Links tell of everything else.
	readEvery = 5 * time.Minute
	// storeRetry is the pause after a failed call, doubled up to storeRetryMost.
	storeRetry     = 700 * time.Millisecond
	storeRetryMost = 1400 * time.Millisecond
	// readPoll is the pace at which it is looked whether the directory has been read.
	readPoll = 10 * time.Millisecond
)

// errNotRead says that the store cannot be reached and the directory was never read.
var errNotRead = errors.New("the directory has not been read")

// directory keeps this node's record in the store and reads the others'. A record has no
// lease: who is alive is seen by the links, and a record only tells newcomers whom to ask.
// So nothing has to be renewed, nothing lapses while the store is out, and a node that is
// restarted finds all it needs in one reading. The record of a node that is gone for good
// is removed by the first of those that forget it.
type directory struct {
	node       *Node
	registered bool
	readAt     time.Time
	retry      backoff
	wasRead    atomic.Bool          // It has been read since the start.
	lost       atomic.Bool          // The last call to the store failed.
	ended      atomic.Bool          // The upstream beside this node has ended for good.
	firstRead  map[string]time.Time // When a record of what leaves was first read.
	mu         sync.Mutex
	left       map[string]bool // Incarnations beside this node that are recorded as leaving.
}

func newDirectory(n *Node) *directory {
	return &directory{node: n, left: map[string]bool{}, firstRead: map[string]time.Time{}, retry: backoff{least: storeRetry, most: storeRetryMost}}
}

// run registers this node and reads the directory from time to time until ctx ends.
func (d *directory) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := d.step(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step does what is due and returns the pause until the next step. The record is written
// before the directory is read, so that of two nodes that start at once one sees the other.
func (d *directory) step(ctx context.Context, now time.Time) time.Duration {
	err := d.register(ctx)
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
	return max(time.Until(d.readAt), time.Millisecond)
}

// ownKey is where this node's record is.
func (d *directory) ownKey() string { return nodesPrefix + d.node.self.Address }

// ownRecord is what others find there.
func (d *directory) ownRecord() ([]byte, error) {
	value, err := json.Marshal(d.node.self)
	return value, errors.Wrap(err, "member")
}

// register writes this node's record, unless it is there.
func (d *directory) register(ctx context.Context) error {
	if d.registered {
		return nil
	}
	value, err := d.ownRecord()
	if err != nil {
		return err
	}
	if err := d.node.platform.Store.Put(ctx, d.ownKey(), value); err != nil {
		return err
	}
	d.registered = true
	d.node.log.Info("registered", zap.String("key", d.ownKey()))
	return nil
}

// read learns the nodes whose records are there, and which upstreams of this instance
// leave. If the own record is gone, it is written again.
func (d *directory) read(ctx context.Context) error {
	entries, _, err := d.node.platform.Store.Range(ctx, recordsPrefix)
	if err != nil {
		return err
	}
	own, err := d.ownRecord()
	if err != nil {
		return err
	}
	d.registered = false
	var left []string
	var held []port.Entry
	for _, e := range entries {
		switch {
		case e.Key == d.ownKey():
			d.registered = bytes.Equal(e.Value, own)
		case strings.HasPrefix(e.Key, nodesPrefix):
			d.learn(e)
		case strings.HasPrefix(e.Key, d.leavingPrefix()):
			left = append(left, strings.TrimPrefix(e.Key, d.leavingPrefix()))
		case strings.HasPrefix(e.Key, quarantinePrefix):
			held = append(held, e)
		}
	}
	d.node.ends.read(held, time.Now())
	d.noteRead(ctx, left, time.Now())
	d.wasRead.Store(true)
	return d.register(ctx)
}

// learn takes another node's record.
func (d *directory) learn(e port.Entry) {
	var m link.Member
	if err := json.Unmarshal(e.Value, &m); err != nil || nodesPrefix+m.Address != e.Key || m.Name == "" || m.Service == "" || m.DataCentre == "" {
		d.node.log.Warn("directory record cannot be read", zap.String("key", e.Key), zap.Error(err))
		return
	}
	d.node.links.learn(m)
}

// note logs when the store is lost or regained.
func (d *directory) note(ctx context.Context, err error) {
	if ctx.Err() != nil || d.lost.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		d.node.log.Warn("store lost", zap.Error(err))
		return
	}
	d.node.log.Info("store regained")
}

// drop removes the record of a node that has been away for long. Should it live all the
// same, it writes its record again at its next reading.
func (d *directory) drop(m link.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	err := d.node.platform.Store.Remove(ctx, nodesPrefix+m.Address)
	d.node.log.Info("record removed", zap.String("node", m.Name), zap.String("address", m.Address), zap.Error(err))
}

// end removes this node's record if the upstream beside it has ended: the instance goes.
// Otherwise the node is restarted, and finds its record in place.
func (d *directory) end(ctx context.Context) {
	if !d.ended.Load() {
		return
	}
	if err := d.node.platform.Store.Remove(ctx, d.ownKey()); err != nil {
		d.node.log.Info("record not removed; those that forget this node remove it", zap.Error(err))
	}
}
