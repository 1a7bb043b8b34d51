package proof

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// dialers finds the node whose process has opened a connection. Connections that come at the same time share one look at
// the system's tables.
type dialers struct {
	mu    sync.Mutex
	names map[int]string // by process ID

	scanning  sync.Mutex // held during a scan
	scannedAt time.Time  // start of the last scan
	sockets   []byte     // /proc/net/tcp as of that scan
	owners    map[string]string
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
	now := time.Now()
	d.scanning.Lock()
	defer d.scanning.Unlock()
	if d.scannedAt.Before(now) {
		d.scan()
	}
	inode := socketInode(d.sockets, accepted.RemoteAddr().(*net.TCPAddr), accepted.LocalAddr().(*net.TCPAddr))
	name, ok := d.owners[inode]
	return name, ok
}

// scan reads which sockets there are and which of them the nodes' processes own.
func (d *dialers) scan() {
	d.scannedAt = time.Now()
	d.sockets, _ = os.ReadFile("/proc/net/tcp") // without it no connection is identified
	d.owners = map[string]string{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for pid, name := range d.names {
		for _, inode := range socketsOf(pid) {
			d.owners[inode] = name
		}
	}
}

// socketInode returns the inode of the local socket with the given addresses, or "" if there is none.
func socketInode(table []byte, local, remote *net.TCPAddr) string {
	_, row, found := bytes.Cut(table, []byte(" "+procAddress(local)+" "+procAddress(remote)+" "))
	if !found {
		return ""
	}
	// Behind the addresses: state, queues, timer, retransmissions, user, timeout, inode.
	const inodeField = 6
	row, _, _ = bytes.Cut(row, []byte("\n"))
	if fields := bytes.Fields(row); len(fields) > inodeField {
		return string(fields[inodeField])
	}
	return ""
}

// procAddress returns an IPv4 address and port as /proc/net/tcp shows them on a little-endian machine.
func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// socketsOf returns the inodes of the sockets that a process has open.
func socketsOf(pid int) []string {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil // the process has ended
	}
	var inodes []string
	for _, e := range entries {
		target, err := os.Readlink(dir + "/" + e.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			inodes = append(inodes, strings.TrimSuffix(inode, "]"))
		}
	}
	return inodes
}
