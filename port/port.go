// Package port defines the interfaces between eiderfold and its platform. Each
// interface has one adapter for a real platform and one in memory.
//
// # Usage
//
// Nodes depend on ports only, so another platform needs only a new adapter:
//
//	var s port.Store = consul.New("http://127.0.0.1:8500")
//	entry, err := s.Get(ctx, "eiderfold/config/montevideo/template")
package port

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by the adapters. Test for them with errors.Is.
var (
	// ErrMissing is returned if the key does not exist.
	ErrMissing = errors.New("no such key")
	// ErrUnavailable is returned if the platform did not accept the call.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown is returned if a write was sent but its response was lost, so that
	// it may have taken effect.
	ErrUnknown = errors.New("outcome of the write unknown")
)

// MaxValue is the maximum size of a value in the platform's store, in bytes.
const MaxValue = 1 << 20

// Entry is a key and its value in the store, with the version for compare-and-swap.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64 // 0 if the key does not exist.
	Removed bool   // Set by a watch if the key was deleted; Value is empty.
}

// Store is the platform's key-value service, as used by `eiderfold run` and its
// administration; `eiderfold mesh` uses a Directory instead. Every call counts against its rate
// limit, including a Watch that waits.
type Store interface {
	// Get reads one key. It returns ErrMissing or ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys below a prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Keys reads the keys below a prefix without their values.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// CompareAndSwap writes the entry if the key still has the entry's version. It
	// returns false if the version differs, ErrUnavailable if nothing was written,
	// and ErrUnknown if the response was lost.
	CompareAndSwap(ctx context.Context, e Entry) (bool, error)
	// Watch waits until something below prefix is newer than index, or until
	// the deadline of ctx, and returns everything below prefix with its index.
	Watch(ctx context.Context, prefix string, index uint64) ([]Entry, uint64, error)
}

// State is the state of an instance according to the platform.
type State string

// States of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name       string
	Address    string // IP:port
	DataCentre string
	State      State
	// Generation differs between an instance and its replacement under the same
	// name.
	Generation string
}

// InstanceList is the platform's list of live and leaving instances. It may be out of
// date.
type InstanceList interface {
	// Instances waits until the list of the service is newer than index, or
	// until the deadline of ctx, and returns the complete list with its index.
	Instances(ctx context.Context, service string, index uint64) ([]Instance, uint64, error)
}

// Clock returns the current time.
type Clock func() time.Time
