package main

import (
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// cause says why a request was not served in time.
type cause string

// Causes, as far as the logs tell. What an upstream did stands in its gate's line, so
// the logs of all nodes are needed.
const (
	upstreamSilent  cause = "upstream silent"
	upstreamErred   cause = "upstream erred"
	upstreamBroke   cause = "upstream reset or cut"
	upstreamShed    cause = "upstream shed"
	callFailed      cause = "own call failed"
	noSlot          cause = "no slot"
	allOnTrial      cause = "gates on trial"
	budgetSpent     cause = "repeat budget spent"
	gateClosed      cause = "gates closed"
	notReached      cause = "node or link lost"
	noConfiguration cause = "no configuration"
	overLimit       cause = "over the account's limit"
	unconfirmed     cause = "limit unconfirmed"
	endsUpstreams   cause = "upstreams end under it"
	lateByQueue     cause = "late by queue"
	lateByWork      cause = "late by work"
	callerLeft      cause = "caller left"
	incomplete      cause = "story incomplete"
)

// requestPrefix begins the message of a request's last line, attemptMessage is that
// of a gate about an attempt.
const (
	requestPrefix  = "request "
	attemptMessage = "attempt without a good answer"
)

// loss is a request that was not served in time.
type loss struct {
	line  logLine
	cause cause
}

// losses collects what logs say of requests that were not served in time.
type losses struct {
	requests []logLine
	outcomes map[string]string // Of an attempt's latest run, by the request's id.
	skipped  int               // Lines that are no log lines.
}

func lossesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "losses [FILE...]",
		Short: "Say why requests were not served in time, by route and second, from the logs of all nodes",
		Long: "Reads structured logs of nodes from files, or from standard input, and attributes every\n" +
			"request that failed, was late or was abandoned to its cause. Lines that are no log lines\n" +
			"are skipped and counted; a request whose gate's line is missing is told as incomplete.",
		Example: "  eiderctl losses node-*.log",
		RunE: func(c *cobra.Command, args []string) error {
			l := &losses{outcomes: map[string]string{}}
			if err := eachLine(args, c.InOrStdin(), l.read); err != nil {
				return err
			}
			return l.print(c.OutOrStdout())
		},
	}
}

// read takes one line of a log; what is no log line is counted.
func (l *losses) read(text string) {
	line, ok := parseLine(text)
	if !ok {
		l.skipped++
		return
	}
	l.take(line)
}

// take keeps a line about a request that was not served in time, or about an attempt.
func (l *losses) take(line logLine) {
	switch {
	case line.message == attemptMessage:
		l.outcomes[line.text("attempt")] = line.text("outcome")
	case line.message == requestPrefix+"failed", line.message == requestPrefix+"refused", line.message == requestPrefix+"late", line.message == requestPrefix+"abandoned":
		l.requests = append(l.requests, line)
	}
}

// attribute returns the losses in the order of time.
func (l *losses) attribute() []loss {
	slices.SortStableFunc(l.requests, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	var out []loss
	for _, r := range l.requests {
		if status, _ := r.rest["status"].(float64); status >= 400 && status < 500 && r.text("result") != "over-limit" {
			continue // What it asks for is not there, or who asks is not known: nothing was lost.
		}
		out = append(out, loss{line: r, cause: l.causeOf(r)})
	}
	return out
}

// causeOf reads a request's last line, and its gate's where that decides.
func (l *losses) causeOf(r logLine) cause {
	own, _ := r.rest["own"].(bool)
	runs, _ := r.rest["runs"].(float64)
	switch {
	case r.message == requestPrefix+"late":
		return lateness(r)
	case r.message == requestPrefix+"abandoned" && runs == 0:
		return callerLeft
	case own && runs == 0:
		return refusal(r)
	default:
		return l.outcome(r)
	}
}

// lateness tells whether a late request waited for most of its time or ran for it.
func lateness(r logLine) cause {
	waited, _ := r.rest["waited"].(float64)
	took, _ := r.rest["took"].(float64)
	if waited > took/2 {
		return lateByQueue
	}
	return lateByWork
}

// refusal reads why a request that never ran was refused.
func refusal(r logLine) cause {
	switch r.text("result") {
	case "no-configuration":
		return noConfiguration
	case "over-limit":
		return overLimit
	case "limit-unconfirmed":
		return unconfirmed
	case "quarantined":
		return endsUpstreams
	}
	switch r.text("refused") {
	case "trial":
		return allOnTrial
	case "busy", "expired":
		return noSlot
	case "budget":
		return budgetSpent
	case "closed", "misdirected":
		return gateClosed
	case "shed":
		return upstreamShed
	case "not-connected", "never-seen":
		return notReached
	default:
		return noSlot // No gate was asked: all were known to be full.
	}
}

// outcome reads what became of a request that ran.
func (l *losses) outcome(r logLine) cause {
	if r.text("refused") == "budget" {
		return budgetSpent
	}
	doubt := r.text("doubt")
	if strings.Contains(doubt, "the link to") || strings.Contains(doubt, "has been restarted") {
		return notReached
	}
	switch l.outcomes[r.text("attempt")] {
	case "no-evidence":
		return upstreamSilent
	case "erred":
		return upstreamErred
	case "call-failed":
		return callFailed
	case "broken", "unreached", "replaced":
		return upstreamBroke
	case "shed":
		return upstreamShed
	default:
		return l.unexplained(r)
	}
}

// unexplained is the cause where no gate wrote a line: a caller that left an order which
// ended well is no gap in the logs.
func (l *losses) unexplained(r logLine) cause {
	if r.message == requestPrefix+"abandoned" {
		return callerLeft
	}
	return incomplete
}

// text returns a field of a line, "" where it is none of text.
func (l logLine) text(field string) string {
	value, _ := l.rest[field].(string)
	return value
}
