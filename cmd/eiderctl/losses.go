package main

import (
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// cause is the reason why a request was not served in time, as shown in the tables.
type cause string

// Causes that can be derived from the logs. The outcome of an attempt is logged by the
// node beside the upstream, so the logs of all nodes are needed.
const (
	upstreamUnresponsive cause = "upstream silent"
	upstreamErred        cause = "upstream erred"
	upstreamBroke        cause = "upstream reset or cut"
	upstreamShed         cause = "upstream shed"
	nestedFailed         cause = "own call failed" // A request failed that the upstream made for this one.
	noSlot               cause = "no slot"
	gatesOnTrial         cause = "gates on trial" // Gates that admit only trial requests refused it.
	budgetExhausted      cause = "repeat budget spent"
	gateClosed           cause = "gates closed"
	notReached           cause = "node or link lost"
	noConfiguration      cause = "no configuration"
	upstreamsLimited     cause = "upstreams' limits used up"
	noNestedRoom         cause = "no room for nested requests" // Refused before it ran.
	overAccountLimit     cause = "over the account's limit"
	limitUnconfirmed     cause = "limit unconfirmed"
	crashesUpstreams     cause = "upstreams end under it" // Quarantined, since upstreams crashed while running it.
	lateByQueue          cause = "late by queue"
	lateByWork           cause = "late by work"
	callerDisconnected   cause = "caller left"
	incomplete           cause = "story incomplete" // The logs contain no line of a gate about its attempt.
)

// Messages of the log lines that are read.
const (
	requestPrefix  = "request "                      // Prefix of the last line of a request.
	attemptMessage = "attempt without a good answer" // A gate's line about a failed attempt.
)

// loss is a request that was not served in time.
type loss struct {
	line  logLine
	cause cause
}

// losses collects the log lines about requests that were not served in time.
type losses struct {
	requests []logLine
	outcomes map[string]string // Outcome in the last line read of a gate, by the caller's id of the request (field attempt).
	skipped  int               // Number of lines that are not log lines.
}

func lossesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "losses [FILE...]",
		Short: "Show why requests were not served in time, by route and second, from the logs of all nodes",
		Long: "Reads structured logs of nodes from files, or from standard input, and attributes every\n" +
			"request that failed, was late or was abandoned to its cause. Lines that are not log lines\n" +
			"are skipped and counted; a request whose gate's line is missing is reported as incomplete.",
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

// read parses a line and adds it. Lines that are not log lines are counted.
func (l *losses) read(text string) {
	line, ok := parseLine(text)
	if !ok {
		l.skipped++
		return
	}
	l.add(line)
}

// add stores a line about a request that was not served in time, or about an attempt.
func (l *losses) add(line logLine) {
	switch {
	case line.message == attemptMessage:
		l.outcomes[line.text("attempt")] = line.text("outcome")
	case line.message == requestPrefix+"failed", line.message == requestPrefix+"refused", line.message == requestPrefix+"late", line.message == requestPrefix+"abandoned":
		l.requests = append(l.requests, line)
	}
}

// attribute returns the losses with their causes, in order of time.
func (l *losses) attribute() []loss {
	slices.SortStableFunc(l.requests, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	var out []loss
	for _, r := range l.requests {
		if status, _ := r.rest["status"].(float64); status >= 400 && status < 500 && r.text("result") != "over-limit" {
			continue // The request itself was wrong, such as an unknown key or route.
		}
		out = append(out, loss{line: r, cause: l.causeOf(r)})
	}
	return out
}

// causeOf returns the cause of a request's loss from its last line and, where needed,
// from the gate's line about its attempt.
func (l *losses) causeOf(r logLine) cause {
	own, _ := r.rest["own"].(bool)
	runs, _ := r.rest["runs"].(float64)
	switch {
	case r.message == requestPrefix+"late":
		return lateness(r)
	case r.message == requestPrefix+"abandoned" && runs == 0:
		return callerDisconnected
	case own && runs == 0:
		return refusal(r)
	default:
		return l.outcome(r)
	}
}

// lateness returns whether a late request spent most of its time queued or running.
func lateness(r logLine) cause {
	waited, _ := r.rest["waited"].(float64)
	took, _ := r.rest["took"].(float64)
	if waited > took/2 {
		return lateByQueue
	}
	return lateByWork
}

// refusal returns why a request was refused before any attempt ran.
func refusal(r logLine) cause {
	switch r.text("result") {
	case "no-configuration":
		return noConfiguration
	case "over-limit":
		return overAccountLimit
	case "limit-unconfirmed":
		return limitUnconfirmed
	case "quarantined":
		return crashesUpstreams
	}
	switch r.text("refused") {
	case "trial":
		return gatesOnTrial
	case "busy", "expired", "share":
		return noSlot
	case "limited":
		return upstreamsLimited
	case "nested":
		return noNestedRoom
	case "budget":
		return budgetExhausted
	case "closed", "misdirected":
		return gateClosed
	case "shed":
		return upstreamShed
	case "not-connected", "never-seen":
		return notReached
	default:
		return noSlot // No offer was made: by their last status, all gates were full.
	}
}

// outcome returns the cause of a request that had at least one attempt.
func (l *losses) outcome(r logLine) cause {
	if r.text("refused") == "budget" {
		return budgetExhausted
	}
	doubt := r.text("doubt") // Why the outcome is unknown, as worded by package ingress.
	if strings.Contains(doubt, "the link to") || strings.Contains(doubt, "has been restarted") {
		return notReached
	}
	switch l.outcomes[r.text("attempt")] {
	case "no-evidence":
		return upstreamUnresponsive
	case "erred":
		return upstreamErred
	case "call-failed":
		return nestedFailed
	case "broken", "unreached", "replaced":
		return upstreamBroke
	case "shed":
		return upstreamShed
	default:
		return l.unexplained(r)
	}
}

// unexplained returns the cause if no gate logged the attempt. If the caller left, the
// attempt may have succeeded, so no line is missing.
func (l *losses) unexplained(r logLine) cause {
	if r.message == requestPrefix+"abandoned" {
		return callerDisconnected
	}
	return incomplete
}

// text returns a text field of a line, or "" if there is none of this name.
func (l logLine) text(field string) string {
	value, _ := l.rest[field].(string)
	return value
}
