package mesh

import (
	"strconv"
	"strings"
	"time"

	"eiderfold/port"
)

// maxUpstreamName keeps a key within the store's limit of 200 bytes.
const maxUpstreamName = 150

// startSeparator is between the id and the start in an incarnation's name; see port.Incarnation.
const startSeparator = "@"

// leavingSegment separates a node's key from the names of its leaving upstreams, so that
// one range read returns both.
const leavingSegment = "/leaving/"

// leavingPrefix returns the store prefix of this instance's leaving upstreams.
func (d *directory) leavingPrefix() string { return nodeKey(d.node.self.Address) + leavingSegment }

// leavingKey returns the store key of an incarnation's record.
func (d *directory) leavingKey(segment string) string { return d.leavingPrefix() + segment }

// keySegment returns an incarnation's name as part of a key. A long name loses its
// beginning, as its end distinguishes the incarnations of one id.
func keySegment(upstream port.Incarnation) string {
	name := upstream.String()
	if len(name) > maxUpstreamName {
		name = name[len(name)-maxUpstreamName:]
	}
	return strings.ReplaceAll(name, "/", "_")
}

// leavingRecord is the record of a leaving upstream.
type leavingRecord struct {
	segment string    // Its name in the key.
	at      time.Time // When it was recorded.
	own     bool      // Recorded by this process.
}

// covers reports whether the record concerns an incarnation.
func (r leavingRecord) covers(upstream port.Incarnation) bool {
	if upstream.ID == "" {
		return false
	}
	if r.segment == keySegment(upstream) {
		return true
	}
	left, ok := r.incarnation(keySegment(port.Incarnation{ID: upstream.ID}))
	return ok && left.CoversStart(upstream.StartedAt, r.at)
}

// incarnation returns the recorded incarnation if its id, as part of a key, is the given one.
func (r leavingRecord) incarnation(id string) (port.Incarnation, bool) {
	if r.segment == id {
		return port.Incarnation{ID: id}, true
	}
	start, ok := strings.CutPrefix(r.segment, id+startSeparator)
	startedAt, err := strconv.ParseInt(start, 10, 64)
	return port.Incarnation{ID: id, StartedAt: startedAt}, ok && err == nil
}

// encodeLeaving returns the value of a record: when it was made, in Unix milliseconds.
func encodeLeaving(at time.Time) []byte { return strconv.AppendInt(nil, at.UnixMilli(), 10) }

// decodeLeaving returns when a record was made. One of an earlier build has another value; it was made before
// it was read.
func decodeLeaving(value []byte, read time.Time) time.Time {
	ms, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return read
	}
	return time.UnixMilli(ms)
}
