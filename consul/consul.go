// Package consul implements the store and the instance list with the HTTP API of
// Consul: KV with check-and-set, blocking queries, and the health endpoint of a
// service.
//
// # Usage
//
//	c := consul.New("http://127.0.0.1:8500", consul.WithRate(5, 10))
//	entries, index, err := c.Watch(ctx, "eiderfold/config/montevideo/", 0)
//
// A client limits its own rate, so that a fault in a node cannot exhaust the capacity
// of Consul, which other systems use too.
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"eiderfold/port"
	"eiderfold/storehttp"
)

const (
	callTimeout           = 3 * time.Second
	watchMargin           = 2 * time.Second
	maxResponseBytes      = 64 << 20
	defaultCallsPerSecond = 20
	defaultBurst          = 40
	indexHeader           = "X-Consul-Index"
)

// Client is a port.Store and a port.InstanceList. It is safe for concurrent use.
type Client struct {
	base    string
	token   string
	http    *http.Client
	limiter *rate.Limiter
}

// Option configures a new Client.
type Option func(*Client)

// WithRate limits the calls per second and their burst.
func WithRate(perSecond float64, burst int) Option {
	return func(c *Client) { c.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithToken sets the access token sent with each call.
func WithToken(token string) Option {
	return func(c *Client) { c.token = token }
}

// New returns a client for a base URL such as http://10.0.0.1:8500.
func New(base string, options ...Option) *Client {
	c := &Client{
		base:    strings.TrimRight(base, "/"),
		http:    &http.Client{Transport: storehttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute})},
		limiter: rate.NewLimiter(defaultCallsPerSecond, defaultBurst),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// kvPair is a key in Consul's JSON format, in which the value is encoded in base64.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Get implements port.Store with a consistent read, because after a stale one every
// compare-and-swap would conflict.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pairs, _, err := c.read(ctx, key, url.Values{"consistent": {""}})
	if err != nil {
		return port.Entry{Key: key}, err
	}
	if len(pairs) == 0 {
		return port.Entry{Key: key}, port.ErrMissing
	}
	return pairs[0], nil
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pairs, _, err := c.read(ctx, prefix, url.Values{"recurse": {""}})
	return pairs, err
}

// Keys implements port.Store.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var keys []string
	_, err := c.call(ctx, http.MethodGet, "/v1/kv/"+prefix, url.Values{"keys": {""}}, nil, &keys)
	if errors.Is(err, port.ErrMissing) {
		return nil, nil
	}
	return keys, err
}

// CompareAndSwap implements port.Store with Consul's cas parameter. It refuses a value over
// port.MaxValue with port.ErrUnavailable.
func (c *Client) CompareAndSwap(ctx context.Context, e port.Entry) (bool, error) {
	if len(e.Value) > port.MaxValue {
		return false, errors.Wrapf(port.ErrUnavailable, "%s is %d bytes, over the store's %d", e.Key, len(e.Value), port.MaxValue)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"cas": {strconv.FormatUint(e.Version, 10)}}
	var swapped bool
	_, err := c.call(ctx, http.MethodPut, "/v1/kv/"+e.Key, query, e.Value, &swapped)
	return swapped, err
}

// Watch implements port.Store with a blocking query.
func (c *Client) Watch(ctx context.Context, prefix string, index uint64) ([]port.Entry, uint64, error) {
	query := blockingQuery(ctx, index)
	query.Set("recurse", "")
	return c.read(ctx, prefix, query)
}

// healthEntry is the part of Consul's health response that is decoded.
type healthEntry struct {
	Node struct {
		Datacenter string
	}
	Service struct {
		ID      string
		Address string
		Port    int
		Meta    map[string]string
	}
}

// Instances implements port.InstanceList with the health endpoint. It returns the
// instances regardless of their health in Consul. State, data centre and generation are
// read from the service's meta keys "state", "data_centre" and "generation"; without
// "data_centre", Consul's data centre applies.
func (c *Client) Instances(ctx context.Context, service string, index uint64) ([]port.Instance, uint64, error) {
	var rows []healthEntry
	newest, err := c.call(ctx, http.MethodGet, "/v1/health/service/"+url.PathEscape(service), blockingQuery(ctx, index), nil, &rows)
	if err != nil {
		return nil, index, err
	}
	found := make([]port.Instance, 0, len(rows))
	for _, r := range rows {
		found = append(found, r.instance())
	}
	return found, newest, nil
}

func (r healthEntry) instance() port.Instance {
	i := port.Instance{
		Name:       r.Service.ID,
		Address:    r.Service.Address + ":" + strconv.Itoa(r.Service.Port),
		DataCentre: r.Service.Meta["data_centre"],
		Generation: r.Service.Meta["generation"],
		State:      port.Live,
	}
	if i.DataCentre == "" {
		i.DataCentre = r.Node.Datacenter
	}
	if r.Service.Meta["state"] == string(port.Leaving) {
		i.State = port.Leaving
	}
	return i
}

// blockingQuery returns Consul's index and wait parameters. The wait ends watchMargin
// before the deadline of ctx, but lasts at least a second. Index 0 does not block.
func blockingQuery(ctx context.Context, index uint64) url.Values {
	query := url.Values{}
	if index == 0 {
		return query
	}
	query.Set("index", strconv.FormatUint(index, 10))
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline)-watchMargin, time.Second)
		query.Set("wait", strconv.FormatInt(left.Milliseconds(), 10)+"ms")
	}
	return query
}

func (c *Client) read(ctx context.Context, key string, query url.Values) ([]port.Entry, uint64, error) {
	var pairs []kvPair
	index, err := c.call(ctx, http.MethodGet, "/v1/kv/"+key, query, nil, &pairs)
	if errors.Is(err, port.ErrMissing) {
		return nil, index, nil
	}
	if err != nil {
		return nil, 0, err
	}
	entries := make([]port.Entry, 0, len(pairs))
	for _, p := range pairs {
		entries = append(entries, port.Entry{Key: p.Key, Value: p.Value, Version: p.ModifyIndex})
	}
	return entries, index, nil
}

// call makes an HTTP call, decodes the response into out and returns Consul's index. A
// write without a valid response returns port.ErrUnknown, because it may have taken
// effect.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, out any) (uint64, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, errors.Wrap(port.ErrUnavailable, "client rate limit")
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(port.ErrUnavailable, err.Error())
	}
	if c.token != "" {
		request.Header.Set("X-Consul-Token", c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, errors.Wrap(callError(method), err.Error())
	}
	defer response.Body.Close() //nolint:errcheck // Only read from.
	index, _ := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	switch {
	case response.StatusCode == http.StatusNotFound:
		return index, port.ErrMissing
	case response.StatusCode == http.StatusTooManyRequests:
		return index, errors.Wrap(port.ErrUnavailable, "rate limited by the platform")
	case response.StatusCode != http.StatusOK:
		return index, errors.Wrapf(callError(method), "status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(out); err != nil {
		return index, errors.Wrap(callError(method), err.Error())
	}
	return index, nil
}

// callError returns the error for a call that may have been sent.
func callError(method string) error {
	if method == http.MethodPut {
		return port.ErrUnknown
	}
	return port.ErrUnavailable
}
