// Package port names what eiderfold needs from the world around it. Each
// interface has one adapter for a real platform and one in memory.
//
// # Usage
//
// A node is wired from ports, so another platform costs one new adapter:
//
//	var s port.Store = consul.New("http://127.0.0.1:8500")
//	entry, err := s.Get(ctx, "eiderfold/config/montevideo/template")
package port

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the ports. Callers test them with errors.Is.
var (
	// ErrMissing says that the store holds no such key.
	ErrMissing = errors.New("no such key")
	// ErrUnavailable says that the platform did not take the call.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown says that a write was sent and its answer lost: it may have
	// taken effect.
	ErrUnknown = errors.New("outcome of the write unknown")
)

// MaxValue is the largest value the platform's store takes, in bytes.
const MaxValue = 1 << 20

// Entry is one value of the store with the version compare-and-swap needs.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64 // 0 stands for "the key does not exist".
	Removed bool   // A watch tells that the key is gone; there is no value.
}

// Store is the platform's key-value service. Every call counts against its rate
// limit, a waiting Watch too.
type Store interface {
	// Get reads one key. It returns ErrMissing or ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys below a prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Keys reads only the names below a prefix.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// CompareAndSwap writes if the key still has the entry's version. It returns
	// false when somebody else was first, ErrUnavailable when nothing was
	// written, and ErrUnknown when the answer was lost.
	CompareAndSwap(ctx context.Context, e Entry) (bool, error)
	// Watch waits until something below prefix is newer than index, or until
	// the deadline of ctx, and returns everything below prefix.
	Watch(ctx context.Context, prefix string, index uint64) ([]Entry, uint64, error)
}

// State is what the platform says of an instance.
type State string

// The states of an instance in the platform's list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name       string
	Address    string // IP:port
	DataCentre string
	State      State
	// Generation differs between an instance and its replacement under the same
	// name.
	Generation string
}

// InstanceList is the platform's list of live and leaving instances. It lags.
type InstanceList interface {
	// Instances waits until the list of the service is newer than index, or
	// until the deadline of ctx, and returns it whole.
	Instances(ctx context.Context, service string, index uint64) ([]Instance, uint64, error)
}

// Clock is the time source of everything that is not pure.
type Clock func() time.Time
