package quota

import "time"

// Message is an input to Home or Limiter, with the time at which it arrived.
type Message interface{ at() time.Time }

// Messages to Home.
type (
	// TokenRequested reports that a node requests a token.
	TokenRequested struct {
		At      time.Time
		From    string // The node's address.
		Number  uint64 // The request's number at that node.
		Account string
		Limit   Limit
		Spent   int  // Tokens spent without a home and not reported yet.
		Acting  bool // This node acts as home in place of the account's own.
	}
	// Reported reports tokens that a node spent without a home, or returns.
	Reported struct {
		At      time.Time
		Account string
		Limit   Limit
		Count   int // Negative for returned tokens.
		Acting  bool
	}
	// HomeReturned reports that the home has returned for which this node acted.
	HomeReturned struct {
		At      time.Time
		Account string
		To      string // Node to send to: the home, or one that reaches it.
	}
)

// Messages to Limiter.
type (
	// TokenWanted reports that a request needs a token.
	TokenWanted struct {
		At      time.Time
		Number  uint64
		Account string
		Limit   Limit
		Home    string // The address of the account's home; "" if none is reached.
	}
	// Answered is a home's answer to a RequestToken.
	Answered struct {
		At         time.Time
		Number     uint64
		Granted    bool
		Unknown    bool          // The node asked reaches no home itself.
		RetryAfter time.Duration // If not granted.
	}
	// Unanswered reports that a home did not answer in time. The request continues under
	// another number, so that a late answer is not mistaken for one to the next RequestToken.
	Unanswered struct {
		At     time.Time
		Number uint64
		Next   uint64
		Home   string // Node to ask next; "" if the request cannot wait.
	}
	// Returned reports that an admitted request has not run and will not run.
	Returned struct {
		At      time.Time
		Account string
	}
	// Misdirected carries tokens that another node reported here although the home is elsewhere.
	Misdirected struct {
		At      time.Time
		Account string
		Limit   Limit
		Count   int
	}
	// HomeLost reports that a home cannot be reached any more.
	HomeLost struct {
		At   time.Time
		Home string
	}
	// FlushDue reports that the tokens spent or returned are due to be reported.
	FlushDue struct{ At time.Time }
)

func (m TokenRequested) at() time.Time { return m.At }
func (m Reported) at() time.Time       { return m.At }
func (m HomeReturned) at() time.Time   { return m.At }
func (m TokenWanted) at() time.Time    { return m.At }
func (m Answered) at() time.Time       { return m.At }
func (m Unanswered) at() time.Time     { return m.At }
func (m Returned) at() time.Time       { return m.At }
func (m Misdirected) at() time.Time    { return m.At }
func (m HomeLost) at() time.Time       { return m.At }
func (m FlushDue) at() time.Time       { return m.At }

// Command is an action that Home or Limiter requests.
type Command interface{ command() }

// Commands of Home.
type (
	// Answer sends a node the decision on its request.
	Answer struct {
		To         string
		Number     uint64
		Granted    bool
		RetryAfter time.Duration
	}
	// Claim notifies an account's successors that this node is its home.
	Claim struct{ Account string }
	// OverLimit reports, at most once per second, that an account is over its limit.
	OverLimit struct {
		Use
		Refused int // Requests refused since the last report.
	}
)

// Report sends a home the number of tokens spent, or returned if negative.
type Report struct {
	To      string
	Account string
	Count   int
}

// Commands of Limiter.
type (
	// Admit admits a request.
	Admit struct{ Number uint64 }
	// Refuse refuses a request.
	Refuse struct {
		Number      uint64
		RetryAfter  time.Duration // Retry-after.
		Unconfirmed bool          // It could not be determined whether the account is over its limit.
	}
	// RequestToken requests a token from a home.
	RequestToken struct {
		To      string
		Number  uint64
		Account string
		Spent   int
	}
)

func (Answer) command()       {}
func (OverLimit) command()    {}
func (Claim) command()        {}
func (Admit) command()        {}
func (Refuse) command()       {}
func (RequestToken) command() {}
func (Report) command()       {}
