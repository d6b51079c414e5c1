package quota

import "time"

// Message is anything that Home or Spender is told, with the time at which it was.
type Message interface{ at() time.Time }

// Messages to Home.
type (
	// Asked says that a node wants a token for a request.
	Asked struct {
		At      time.Time
		From    string // The node's address.
		Number  uint64 // The node's name for the request.
		Account string
		Limit   Limit
		Spent   int  // Tokens spent without a home that were not reported yet.
		Acting  bool // This node stands in for the account's home.
	}
	// Reported says that a node has spent tokens without a home, or gives some back.
	Reported struct {
		At      time.Time
		Account string
		Limit   Limit
		Count   int // Under 0 for tokens that come back.
		Acting  bool
	}
	// Resigned says that the account's home is back, for which this node has stood in.
	Resigned struct {
		At      time.Time
		Account string
		To      string // The way to the home.
	}
)

// Messages to Spender.
type (
	// Wanted says that a request needs a token.
	Wanted struct {
		At      time.Time
		Number  uint64
		Account string
		Limit   Limit
		Home    string // The address of the account's home; "" if none is reached.
	}
	// Answered is a home's word on a request.
	Answered struct {
		At      time.Time
		Number  uint64
		Granted bool
		Unknown bool          // The node asked does not know: it reaches no home itself.
		After   time.Duration // When to come back, where it is not granted.
	}
	// Unanswered says that a home was asked for long enough. The request goes on under
	// another number, so that the home's word is not taken for a later one's.
	Unanswered struct {
		At     time.Time
		Number uint64
		Next   uint64
		Home   string // Who is to be asked now; "" if the request cannot wait.
	}
	// Returned says that an admitted request has not run, and never will.
	Returned struct {
		At      time.Time
		Account string
	}
	// Passed says that another node took this one for an account's home, and reported to it.
	Passed struct {
		At      time.Time
		Account string
		Limit   Limit
		Count   int
	}
	// HomeLost says that a home cannot be reached any more.
	HomeLost struct {
		At   time.Time
		Home string
	}
	// Flushed says that it is time to report.
	Flushed struct{ At time.Time }
)

func (m Asked) at() time.Time      { return m.At }
func (m Reported) at() time.Time   { return m.At }
func (m Resigned) at() time.Time   { return m.At }
func (m Wanted) at() time.Time     { return m.At }
func (m Answered) at() time.Time   { return m.At }
func (m Unanswered) at() time.Time { return m.At }
func (m Returned) at() time.Time   { return m.At }
func (m Passed) at() time.Time     { return m.At }
func (m HomeLost) at() time.Time   { return m.At }
func (m Flushed) at() time.Time    { return m.At }

// Command is anything that Home or Spender wants done.
type Command interface{ command() }

// Commands of Home.
type (
	// Answer tells a node what becomes of its request.
	Answer struct {
		To      string
		Number  uint64
		Granted bool
		After   time.Duration
	}
	// Claim tells the node that may have stood in for this one that it is an account's home.
	Claim struct{ Account string }
	// Over says, once a second at the most, that an account is over its limit.
	Over struct {
		Use
		Refused int // Requests that were refused since it was said last.
	}
)

// Report tells a home of tokens that were spent, or come back.
type Report struct {
	To      string
	Account string
	Count   int
}

// Commands of Spender.
type (
	// Admit lets a request go ahead.
	Admit struct{ Number uint64 }
	// Refuse turns a request away.
	Refuse struct {
		Number      uint64
		After       time.Duration // When to come back.
		Unconfirmed bool          // Nobody could say whether the account is over its limit.
	}
	// Ask wants a token from a home.
	Ask struct {
		To      string
		Number  uint64
		Account string
		Spent   int
	}
)

func (Answer) command() {}
func (Over) command()   {}
func (Claim) command()  {}
func (Admit) command()  {}
func (Refuse) command() {}
func (Ask) command()    {}
func (Report) command() {}
