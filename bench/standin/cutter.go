package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"
)

// Rule bends the link from one address to one target.
type Rule struct {
	From   string        `json:"from"`    // IP number of who dials, "" for all.
	To     string        `json:"to"`      // Name of the link.
	CutOut bool          `json:"cut_out"` // Nothing gets from the dialler to the target.
	CutIn  bool          `json:"cut_in"`  // Nothing gets back.
	Hold   bool          `json:"hold"`    // Bytes wait, in the directions that are cut, and come after.
	Delay  time.Duration `json:"delay"`
	Reset  bool          `json:"reset"` // New connections and answers are reset.
	Half   int           `json:"half"`  // Answers break off after this many bytes.
}

// Link is one target behind the cutter.
type Link struct {
	Name    string `json:"name"`
	Network string `json:"network"` // tcp or udp.
	Listen  string `json:"listen"`
	Target  string `json:"target"`
}

// Cutter forwards links and applies rules to them, by direction.
type Cutter struct {
	rules atomic.Pointer[[]Rule]
}

const (
	datagram = 64 << 10
	holdPoll = 10 * time.Millisecond
)

// NewCutter returns a cutter without rules.
func NewCutter() *Cutter {
	c := &Cutter{}
	c.rules.Store(&[]Rule{})
	return c
}

// SetRules replaces all rules.
func (c *Cutter) SetRules(rules []Rule) { c.rules.Store(&rules) }

// rule returns what counts for a link now.
func (c *Cutter) rule(from netip.Addr, to string) Rule {
	for _, r := range *c.rules.Load() {
		if (r.From == "" || r.From == from.String()) && (r.To == "" || r.To == to) {
			return r
		}
	}
	return Rule{}
}

// Open starts forwarding a link and returns the address it listens on.
func (c *Cutter) Open(l Link) (string, error) {
	if l.Network == "udp" {
		return c.openUDP(l)
	}
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go c.forward(near, l)
		}
	}()
	return listener.Addr().String(), nil
}

func address(a net.Addr) netip.Addr {
	where, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return where.Addr().Unmap()
}

func (c *Cutter) forward(near net.Conn, l Link) {
	defer near.Close() //nolint:errcheck // It is being given up.
	from := address(near.RemoteAddr())
	if c.rule(from, l.Name).Reset {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", l.Target)
	if err != nil {
		reset(near)
		return
	}
	defer far.Close() //nolint:errcheck // It is being given up.
	done := make(chan struct{}, 2)
	go c.copy(far, near, func() (Rule, bool) { r := c.rule(from, l.Name); return r, r.CutOut }, false, done)
	go c.copy(near, far, func() (Rule, bool) { r := c.rule(from, l.Name); return r, r.CutIn }, true, done)
	<-done
}

// copy forwards one direction. A cut swallows what comes while it lasts, like a
// link that drops packets and whose sender gives up before they are repeated.
func (c *Cutter) copy(to, from net.Conn, rule func() (Rule, bool), answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, datagram)
	passed := 0
	for {
		n, err := from.Read(buffer)
		r, cut := rule()
		if r.Reset {
			reset(to)
			return
		}
		for cut && r.Hold {
			time.Sleep(holdPoll)
			r, cut = rule()
		}
		if n > 0 && !cut {
			time.Sleep(r.Delay)
			if answers && r.Half > 0 && passed+n > r.Half {
				_, _ = to.Write(buffer[:max(r.Half-passed, 0)])
				return
			}
			passed += n
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if cut {
				// The end of the stream does not come through either.
				time.Sleep(hangLimit)
			}
			return
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// openUDP forwards datagrams, with a socket of its own for each dialler.
func (c *Cutter) openUDP(l Link) (string, error) {
	where, err := net.ResolveUDPAddr("udp", l.Listen)
	if err != nil {
		return "", err
	}
	near, err := net.ListenUDP("udp", where)
	if err != nil {
		return "", err
	}
	target, err := net.ResolveUDPAddr("udp", l.Target)
	if err != nil {
		return "", err
	}
	go c.forwardUDP(near, target, l)
	return near.LocalAddr().String(), nil
}

func (c *Cutter) forwardUDP(near *net.UDPConn, target *net.UDPAddr, l Link) {
	far := map[netip.AddrPort]*net.UDPConn{}
	buffer := make([]byte, datagram)
	for {
		n, who, err := near.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from := who.Addr().Unmap()
		socket := far[who]
		if socket == nil {
			if socket, err = net.DialUDP("udp", nil, target); err != nil {
				continue
			}
			far[who] = socket
			go c.backUDP(near, socket, who, l)
		}
		r := c.rule(from, l.Name)
		if r.CutOut || r.Reset {
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(r.Delay, func() { _, _ = socket.Write(packet) })
	}
}

func (c *Cutter) backUDP(near, far *net.UDPConn, who netip.AddrPort, l Link) {
	buffer := make([]byte, datagram)
	for {
		n, err := far.Read(buffer)
		if err != nil {
			// A port that nobody listens on yet; the next packet may find somebody.
			time.Sleep(time.Millisecond)
			continue
		}
		r := c.rule(who.Addr().Unmap(), l.Name)
		if r.CutIn || r.Reset {
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(r.Delay, func() { _, _ = near.WriteToUDPAddrPort(packet, who) })
	}
}

// ServeHTTP is the control side: POST /link opens a link, PUT /rules sets rules.
func (c *Cutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	switch r.Method + " " + r.URL.Path {
	case "POST /link":
		var l Link
		if err = json.NewDecoder(r.Body).Decode(&l); err == nil {
			var where string
			if where, err = c.Open(l); err == nil {
				_, _ = io.WriteString(w, where)
			}
		}
	case "PUT /rules":
		var rules []Rule
		if err = json.NewDecoder(r.Body).Decode(&rules); err == nil {
			c.SetRules(rules)
			_, _ = io.WriteString(w, strconv.Itoa(len(rules)))
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
