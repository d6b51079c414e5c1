package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"eiderfold/link"
	"eiderfold/overload"
	"eiderfold/route"
)

// Offers must carry the account and weight that a request counts towards: for a nested request
// those of its parent, while the upstream gets the account of its own key only.
func TestOffersCarryTheShare(t *testing.T) {
	office, court := &route.Account{Name: "office", Weight: 2}, overload.Parent{Account: "court", Weight: 3}
	for _, c := range []struct {
		account *route.Account
		parent  overload.Parent
		want    link.Offer
	}{
		{office, overload.Parent{}, link.Offer{Account: "office", Weight: 2}},
		{&route.Account{Name: "usual", Weight: 1}, overload.Parent{}, link.Offer{Account: "usual"}},
		{nil, overload.Parent{}, link.Offer{}},
		{nil, court, link.Offer{ParentAccount: "court", Weight: 3, Nested: true}},
		{office, court, link.Offer{Account: "office", ParentAccount: "court", Weight: 3, Nested: true}},
	} {
		req := &inFlightRequest{forwarder: newTestForwarder(), route: &route.Route{}, account: c.account, share: shareOf(c.account, c.parent), parent: c.parent.Account}
		m := req.offerMessage(&offer{}, false, time.Unix(1000, 0))
		assert.Equal(t, c.want, link.Offer{Account: m.Account, ParentAccount: m.ParentAccount, Weight: m.Weight, Nested: m.Nested})
	}
}

// A gate that refuses an account for its share must still be asked for other accounts and for nested
// requests, and for the account after the time that it named.
func TestShareRefusalConcernsOneAccount(t *testing.T) {
	now := time.Unix(1000, 0)
	req, _, sinks := orderInFlight(t, now, 1)
	ask := func(account, parent string, after time.Duration) (*inFlightRequest, bool) {
		next, before := newRequest(req, 0, now), len(sinks[0].frames)
		next.share.account, next.parent = account, parent
		next.offerNext(now.Add(after))
		return next, len(sinks[0].frames) > before
	}
	refused, _ := ask("hot", "", 0)
	require.Len(t, refused.offers, 1)
	k := refused.offers[0].key
	refused.handle(event{frame: &link.Frame{Refused: &link.Refused{Key: k, Reason: link.ReasonShare, RetryAfter: 100 * time.Millisecond}}, key: k.Number}, now)
	for want, offers := range map[bool][][2]string{false: {{"hot", ""}}, true: {{"small", ""}, {"", ""}, {"hot", "p1"}}} {
		for _, o := range offers {
			_, asked := ask(o[0], o[1], 99*time.Millisecond)
			assert.Equal(t, want, asked, o)
		}
	}
	_, asked := ask("hot", "", 101*time.Millisecond)
	assert.True(t, asked)
}
