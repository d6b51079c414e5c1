package ingress

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/platform"
	"eiderfold/route"
)

// Offers must carry the account and weight that a request counts towards: for a nested request
// those of its parent, while the upstream is told the account of its own key only.
func TestOffersCarryTheShare(t *testing.T) {
	now := time.Unix(1000, 0)
	parents := map[string]overload.Parent{"p1": {Account: "court", Weight: 3, Deadline: now.Add(time.Second)}, "p2": {Deadline: now.Add(time.Second)}}
	f := NewForwarder("caller", NewEndpoints("near", 0.7), platform.Headers{}, zap.NewNop(), noCounts{}, WithParents(func(attempt string) (overload.Parent, bool) {
		p, ok := parents[attempt]
		return p, ok
	}))
	table, err := route.New(route.Document{Version: 1, Services: []route.Service{{Name: "a"}},
		Routes:   []route.Route{{Name: "r", Host: replayHost, Prefix: "/", Open: true, Shares: []route.Share{{Service: "a", Weight: 1}}}},
		Accounts: []route.Account{{Name: "office", Keys: []string{"k1"}, Weight: 2}, {Name: "usual", Keys: []string{"k2"}}}})
	require.NoError(t, err)
	f.SetTable(table)
	for _, c := range []struct {
		attempt, key string
		want         link.Offer
	}{
		{"a1", "k1", link.Offer{Account: "office", Weight: 2}},
		{"a2", "k2", link.Offer{Account: "usual"}},
		{"a3", "", link.Offer{}},
		{"p1.1", "", link.Offer{ParentAccount: "court", Weight: 3, Nested: true}},
		{"p1.2", "k1", link.Offer{Account: "office", ParentAccount: "court", Weight: 3, Nested: true}},
		{"p2.1", "", link.Offer{Nested: true}},
		{"p2.2", "k1", link.Offer{Account: "office", Weight: 2, Nested: true}},
		{"p3.1", "k1", link.Offer{Account: "office", Weight: 2}}, // Its parent does not run here.
	} {
		header := http.Header{"Attempt-Id": {c.attempt}}
		if c.key != "" {
			header.Set("Authorization", "Token "+c.key)
		}
		req, refused := f.prepare(&Request{Method: http.MethodGet, RequestURI: "/x", URL: &url.URL{Path: "/x"}, Host: replayHost, Header: header, Arrived: now})
		require.Nil(t, refused, c.attempt)
		m := req.offerMessage(&offer{endpoint: NewEndpoint(link.Member{})}, false, now)
		assert.Equal(t, c.want, link.Offer{Account: m.Account, ParentAccount: m.ParentAccount, Weight: m.Weight, Nested: m.Nested}, c.attempt)
	}
}

// A gate that refuses an account for its share must still be asked for other accounts, and for
// nested requests; for the account, it must be asked again after the time that it named.
func TestShareRefusalConcernsOneAccount(t *testing.T) {
	now := time.Unix(1000, 0)
	req, _, sinks := orderInFlight(t, now, 1)
	refused := newRequest(req, 0, now)
	refused.share.account = "hot"
	refused.offerNext(now)
	require.Len(t, refused.offers, 1)
	k := refused.offers[0].key
	refused.handle(event{frame: &link.Frame{Refused: &link.Refused{Key: k, Reason: link.ReasonShare, RetryAfter: 100 * time.Millisecond}}, key: k.Number}, now)
	assert.Equal(t, 100*time.Millisecond, refused.minRetryAfter)
	for _, c := range []struct {
		why, account, parent string
		after                time.Duration
		offered              bool
	}{
		{"the same account", "hot", "", 99 * time.Millisecond, false},
		{"later", "hot", "", 101 * time.Millisecond, true},
		{"another account", "small", "", 0, true},
		{"no account", "", "", 0, true},
		{"a nested request", "hot", "p1", 0, true},
	} {
		next := newRequest(req, 0, now)
		next.share.account, next.parent = c.account, c.parent
		before := len(sinks[0].frames)
		next.offerNext(now.Add(c.after))
		assert.Equal(t, c.offered, len(sinks[0].frames) > before, c.why)
	}
}
