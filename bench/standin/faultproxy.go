package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Rule describes the faults on the link from a source address to a target. The JSON names
// belong to the control API; where they differ, the field names say what a field does.
type Rule struct {
	From          string        `json:"from"`    // Source IP address, "" for any.
	To            string        `json:"to"`      // Name of the link, "" for any.
	DropOutbound  bool          `json:"cut_out"` // Drops what the client sends.
	DropInbound   bool          `json:"cut_in"`  // Drops what the target sends.
	Hold          bool          `json:"hold"`    // Delays the bytes of dropped directions until the rule ends, instead of dropping them; TCP only.
	Delay         time.Duration `json:"delay"`   // In each direction.
	Reset         bool          `json:"reset"`   // Resets new connections, and open ones on their next data; drops datagrams.
	TruncateAfter int           `json:"half"`    // Ends the target's stream after this many bytes, 0 for never; TCP only.
}

// Link is a target that is reached through the proxy.
type Link struct {
	Name    string `json:"name"`
	Network string `json:"network"` // tcp or udp.
	Listen  string `json:"listen"`
	Target  string `json:"target"`
}

// FaultProxy is a proxy that injects faults into links, by source and direction.
type FaultProxy struct {
	rules     atomic.Pointer[[]Rule]
	mu        sync.Mutex  // Guards listeners.
	listeners []io.Closer // Of all open links.
}

const (
	bufferSize       = 64 << 10 // Bytes; holds any UDP datagram.
	holdPollInterval = 10 * time.Millisecond
)

// NewFaultProxy returns a proxy without rules.
func NewFaultProxy() *FaultProxy {
	p := &FaultProxy{}
	p.rules.Store(&[]Rule{})
	return p
}

// SetRules replaces all rules.
func (p *FaultProxy) SetRules(rules []Rule) { p.rules.Store(&rules) }

// ruleFor returns the first rule that matches, and the zero Rule if none does.
func (p *FaultProxy) ruleFor(from netip.Addr, to string) Rule {
	for _, r := range *p.rules.Load() {
		if (r.From == "" || r.From == from.String()) && (r.To == "" || r.To == to) {
			return r
		}
	}
	return Rule{}
}

// Open starts forwarding a link and returns the address it listens on.
func (p *FaultProxy) Open(l Link) (string, error) {
	if l.Network == "udp" {
		return p.openUDP(l)
	}
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return "", err
	}
	p.register(listener)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(client, l)
		}
	}()
	return listener.Addr().String(), nil
}

// register keeps the listener of a link for Close.
func (p *FaultProxy) register(listener io.Closer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, listener)
}

// Close closes the listeners of all links, so that their addresses are free again. Connections
// that are open go on.
func (p *FaultProxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.listeners {
		_ = l.Close() // Nothing else closes it.
	}
	p.listeners = nil
}

func ipAddr(a net.Addr) netip.Addr {
	addr, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return addr.Addr().Unmap()
}

func (p *FaultProxy) forward(client net.Conn, l Link) {
	defer client.Close() //nolint:errcheck // The connection is abandoned.
	from := ipAddr(client.RemoteAddr())
	if p.ruleFor(from, l.Name).Reset {
		reset(client)
		return
	}
	target, err := net.Dial("tcp", l.Target)
	if err != nil {
		reset(client)
		return
	}
	defer target.Close() //nolint:errcheck // The connection is abandoned.
	done := make(chan struct{}, 2)
	go p.copy(target, client, func() (Rule, bool) { r := p.ruleFor(from, l.Name); return r, r.DropOutbound }, false, done)
	go p.copy(client, target, func() (Rule, bool) { r := p.ruleFor(from, l.Name); return r, r.DropInbound }, true, done)
	<-done
}

// copy forwards one direction of a connection. Data that arrives during a cut is
// lost, as on a link that drops packets until the sender stops retransmitting.
func (p *FaultProxy) copy(to, from net.Conn, rule func() (Rule, bool), fromTarget bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	forwarded := 0
	for {
		n, err := from.Read(buffer)
		r, cut := rule()
		if r.Reset {
			reset(to)
			return
		}
		for cut && r.Hold {
			time.Sleep(holdPollInterval)
			r, cut = rule()
		}
		if n > 0 && !cut {
			time.Sleep(r.Delay)
			if fromTarget && r.TruncateAfter > 0 && forwarded+n > r.TruncateAfter {
				_, _ = to.Write(buffer[:max(r.TruncateAfter-forwarded, 0)])
				return
			}
			forwarded += n
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if cut {
				// The end of the stream is not forwarded either.
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

// openUDP forwards datagrams, with a separate socket to the target for each client.
func (p *FaultProxy) openUDP(l Link) (string, error) {
	addr, err := net.ResolveUDPAddr("udp", l.Listen)
	if err != nil {
		return "", err
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return "", err
	}
	target, err := net.ResolveUDPAddr("udp", l.Target)
	if err != nil {
		return "", err
	}
	p.register(conn)
	go p.forwardUDP(conn, target, l)
	return conn.LocalAddr().String(), nil
}

func (p *FaultProxy) forwardUDP(conn *net.UDPConn, target *net.UDPAddr, l Link) {
	sockets := map[netip.AddrPort]*net.UDPConn{}
	buffer := make([]byte, bufferSize)
	for {
		n, client, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from := client.Addr().Unmap()
		socket := sockets[client]
		if socket == nil {
			if socket, err = net.DialUDP("udp", nil, target); err != nil {
				continue
			}
			sockets[client] = socket
			go p.forwardRepliesUDP(conn, socket, client, l)
		}
		r := p.ruleFor(from, l.Name)
		if r.DropOutbound || r.Reset {
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(r.Delay, func() { _, _ = socket.Write(packet) })
	}
}

func (p *FaultProxy) forwardRepliesUDP(conn, socket *net.UDPConn, client netip.AddrPort, l Link) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			// Nothing may listen on the target's port yet; later datagrams may get through.
			time.Sleep(time.Millisecond)
			continue
		}
		r := p.ruleFor(client.Addr().Unmap(), l.Name)
		if r.DropInbound || r.Reset {
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(r.Delay, func() { _, _ = conn.WriteToUDPAddrPort(packet, client) })
	}
}

// ServeHTTP serves the control API: POST /link opens a link, PUT /rules replaces
// the rules.
func (p *FaultProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	switch r.Method + " " + r.URL.Path {
	case "POST /link":
		var l Link
		if err = json.NewDecoder(r.Body).Decode(&l); err == nil {
			var addr string
			if addr, err = p.Open(l); err == nil {
				_, _ = io.WriteString(w, addr)
			}
		}
	case "PUT /rules":
		var rules []Rule
		if err = json.NewDecoder(r.Body).Decode(&rules); err == nil {
			p.SetRules(rules)
			_, _ = io.WriteString(w, strconv.Itoa(len(rules)))
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
