package ingress

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// roomTime is how long a body waits, unread, until there is memory for it. Its caller
	// is held up meanwhile by the connection; after that another node may have room.
	roomTime = 500 * time.Millisecond
	// roomStep is how much is taken at a time, as a body comes in.
	roomStep = 64 << 10
)

// errNoRoom says that there is no memory for a body.
var errNoRoom = errors.New("no room for the body")

// room bounds the bytes of requests' bodies that a node holds. Bodies are read whole
// before a gate is asked for a slot, so that a slow sender keeps no slot; without a bound,
// many large ones at once would end the process with all that it has in hand.
type room struct {
	bytes *semaphore.Weighted
	most  int64
}

func newRoom(most int64) *room { return &room{bytes: semaphore.NewWeighted(most), most: most} }

// share is what one body holds of a room.
type share struct {
	room *room
	held int64
}

// take gets room for some more bytes, waiting for roomTime at the most. A body that is
// larger than the room gets all of it, alone.
func (s *share) take(bytes int64) error {
	bytes = min(bytes, s.room.most-s.held)
	ctx, cancel := context.WithTimeout(context.Background(), roomTime)
	defer cancel()
	if s.room.bytes.Acquire(ctx, bytes) != nil {
		return errNoRoom
	}
	s.held += bytes
	return nil
}

// release gives back what is held.
func (s *share) release() {
	s.room.bytes.Release(s.held)
	s.held = 0
}

// stepReader takes room for what it reads, a step at a time.
type stepReader struct {
	from  io.Reader
	share *share
	left  int64 // Of the step that was taken.
}

// Read implements io.Reader. Its error is errNoRoom when there is none.
func (r *stepReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.share.take(roomStep); err != nil {
			return 0, err
		}
		r.left = roomStep
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
