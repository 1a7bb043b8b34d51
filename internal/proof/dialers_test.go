package proof

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
)

// dialers finds the node whose process has opened a connection.
type dialers struct {
	mu    sync.Mutex
	names map[int]string // by process ID
}

// set notes the process of a node, which replaces the one before.
func (d *dialers) set(pid int, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for p, n := range d.names {
		if n == name {
			delete(d.names, p)
		}
	}
	d.names[pid] = name
}

// identify returns the name of the node that has opened an accepted connection. It fails if the other side has closed the
// connection.
func (d *dialers) identify(accepted *net.TCPConn) (string, bool) {
	inode := socketInode(accepted.RemoteAddr().(*net.TCPAddr), accepted.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return "", false
	}
	d.mu.Lock()
	names := make(map[int]string, len(d.names))
	for pid, name := range d.names {
		names[pid] = name
	}
	d.mu.Unlock()
	for pid, name := range names {
		if ownsSocket(pid, inode) {
			return name, true
		}
	}
	return "", false
}

// socketInode returns the inode of the local socket with the given addresses, or "" if there is none.
func socketInode(local, remote *net.TCPAddr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	pair := " " + procAddress(local) + " " + procAddress(remote) + " "
	_, row, found := strings.Cut(string(table), pair)
	if !found {
		return ""
	}
	// Behind the addresses: state, queues, timer, retransmissions, user, timeout, inode.
	const inodeField = 6
	row, _, _ = strings.Cut(row, "\n")
	if fields := strings.Fields(row); len(fields) > inodeField {
		return fields[inodeField]
	}
	return ""
}

// procAddress returns an IPv4 address and port as /proc/net/tcp shows them on a little-endian machine.
func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// ownsSocket reports whether a process has the socket open.
func ownsSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false // the process has ended
	}
	for _, e := range entries {
		if target, err := os.Readlink(dir + "/" + e.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
