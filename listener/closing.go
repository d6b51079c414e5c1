package listener

import (
	"net"
	"time"

	"go.uber.org/zap/zapcore"
)

// Closing describes how a listener was closed.
type Closing struct {
	Address  net.Addr
	Began    time.Time
	Took     time.Duration
	Refused  bool  // New connections were refused first.
	Cause    error // Why they were not.
	Accepted int   // Connections that were accepted after Close began.
	Pending  int   // How many of them Accept has not returned yet.
	// Lost is how many established connections the socket still had when it closed, which resets
	// them; -1 if unknown.
	Lost int
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c Closing) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddString("address", c.Address.String())
	to.AddDuration("took", c.Took)
	to.AddBool("refused_first", c.Refused)
	to.AddInt("accepted", c.Accepted)
	to.AddInt("pending", c.Pending)
	to.AddInt("lost", c.Lost)
	if c.Cause != nil {
		to.AddString("cause", c.Cause.Error())
	}
	return nil
}
