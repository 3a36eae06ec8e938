package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// proxy forwards TCP connections and UDP datagrams to a process. It drops what comes from, or goes
// to, processes that the target is cut off from, like a partition: nothing is answered, nothing is
// reset. When the cut ends, connections that lost bytes are reset.
type proxy struct {
	site     *site
	target   *process
	address  string
	listener net.Listener
	packets  net.PacketConn

	mutex sync.Mutex
	// cutFrom names the processes that the target is cut off from.
	cutFrom map[string]bool
	links   map[*link]struct{}
}

// link is a connection through a proxy.
type link struct {
	from           string
	client, server net.Conn
	lost           bool
}

func openProxy(s *site, target *process) *proxy {
	p := &proxy{site: s, target: target, address: fmt.Sprintf("%s:%d", target.ip, portProxy), cutFrom: map[string]bool{}, links: map[*link]struct{}{}}
	var err error
	if p.listener, err = net.Listen("tcp", p.address); err != nil {
		notRun(s.record, "proxy: %v", err)
	}
	if p.packets, err = net.ListenPacket("udp", p.address); err != nil {
		notRun(s.record, "proxy: %v", err)
	}
	go p.accept()
	go p.datagrams()
	return p
}

func (p *proxy) cuts(from string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cutFrom[from]
}

// setCut cuts the target off from the named processes; none ends the cut.
func (p *proxy) setCut(names []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cutFrom = map[string]bool{}
	for _, name := range names {
		p.cutFrom[name] = true
	}
	if len(names) > 0 {
		return
	}
	for each := range p.links {
		if each.lost {
			each.reset()
		}
	}
}

func (l *link) reset() {
	for _, each := range []net.Conn{l.client, l.server} {
		if each == nil {
			continue
		}
		if tcp, ok := each.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = each.Close()
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	l := &link{client: client}
	for tries := 0; l.from == "" && tries < 20; tries++ {
		if tries > 0 {
			time.Sleep(2 * time.Millisecond)
		}
		l.from = p.site.ownerOf(client.RemoteAddr(), client.LocalAddr())
	}
	if l.from == "" {
		p.site.record.add("proxy      a connection to %s has an unknown owner", p.target.name)
	}
	p.mutex.Lock()
	p.links[l] = struct{}{}
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		delete(p.links, l)
		if l.lost {
			l.reset()
		}
		p.mutex.Unlock()
		client.Close()
	}()
	for p.cuts(l.from) {
		p.mutex.Lock()
		l.lost = true
		p.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	server, err := net.DialTimeout("tcp", p.target.internal(), time.Second)
	if err != nil {
		l.reset()
		return
	}
	p.mutex.Lock()
	l.server = server
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(l, server, client) }()
	go func() { defer both.Done(); p.copy(l, client, server) }()
	both.Wait()
	server.Close()
}

func (p *proxy) copy(l *link, to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if p.cuts(l.from) {
			p.mutex.Lock()
			l.lost = true
			p.mutex.Unlock()
			if err != nil {
				// The end of the connection isn't told either.
				for p.cuts(l.from) {
					time.Sleep(10 * time.Millisecond)
				}
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// datagrams carry load reports between the system's processes. Those of a cut are dropped.
func (p *proxy) datagrams() {
	target, err := net.Dial("udp", p.target.internal())
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		cut := false
		if udp, ok := from.(*net.UDPAddr); ok {
			for name := range p.copyOfCut() {
				if other := p.site.byName(name); other != nil && other.ip == udp.IP.String() {
					cut = true
				}
			}
		}
		if !cut {
			_, _ = target.Write(buffer[:n])
		}
	}
}

func (p *proxy) copyOfCut() map[string]bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	copied := map[string]bool{}
	for name := range p.cutFrom {
		copied[name] = true
	}
	return copied
}

// tableAddress is an address as the kernel's table of connections has it.
func tableAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// ownerOf names the process of the site that opened a connection, empty if it isn't found. The kernel's
// table gives the socket, and the descriptors of the processes that this program started give its owner.
func (s *site) ownerOf(opener, accepter net.Addr) string {
	local, remote := tableAddress(opener), tableAddress(accepter)
	inode := ""
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		content, err := os.ReadFile(table)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(content), "\n") {
			fields := strings.Fields(line)
			if len(fields) > 9 && strings.HasSuffix(fields[1], local) && strings.HasSuffix(fields[2], remote) {
				inode = fields[9]
			}
		}
	}
	if inode == "" {
		return ""
	}
	for _, p := range s.processes {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		folder := "/proc/" + strconv.Itoa(p.command.Process.Pid) + "/fd"
		descriptors, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, each := range descriptors {
			if target, err := os.Readlink(folder + "/" + each.Name()); err == nil && target == "socket:["+inode+"]" {
				return p.name
			}
		}
	}
	return ""
}

// split cuts two sets of processes from each other. Everyone else reaches both.
func (s *site) split(one, other []string) {
	for _, name := range one {
		s.byName(name).proxy.setCut(other)
	}
	for _, name := range other {
		s.byName(name).proxy.setCut(one)
	}
	s.record.add("CUT        %v from %v", one, other)
}

// heal ends all cuts.
func (s *site) heal() {
	for _, p := range s.processes {
		if p.proxy != nil {
			p.proxy.setCut(nil)
		}
	}
	s.record.add("CUT ENDS")
}
