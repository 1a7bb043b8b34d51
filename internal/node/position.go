package node

import (
	"sync"
	"time"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/port"
)

// watchPosition is how far the state watch has come. Its events arrive in revision order, so a watch that has reached
// the revision that the store had at some moment has shown every configuration published before that moment. This
// confirms the configuration without reading it, which at the target size would cost about 100 KB a second.
type watchPosition struct {
	mu       sync.Mutex
	through  int64 // store revision of the last event
	document int64 // revision of the configuration as of through, 0 if unknown
	asked    int64 // store revision that has to be reached to confirm
	sent     time.Time
}

// load sets the position to that of a complete read.
func (p *watchPosition) load(entries []port.Entry, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document = 0
	for _, e := range entries {
		if e.Key == port.ConfigKey {
			p.document = documentRevision(e.Value)
		}
	}
	p.through = revision
}

// advance moves the position past events.
func (p *watchPosition) advance(events []port.WatchEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range events {
		if e.Entry.Key == port.ConfigKey {
			p.document = 0
			if !e.Deleted {
				p.document = documentRevision(e.Entry.Value)
			}
		}
		p.through = max(p.through, e.Entry.Revision)
	}
}

// revision returns the store revision from which a new watch can go on, 0 if everything has to be read.
func (p *watchPosition) revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.through
}

// reset gives the position up. Nothing is confirmed until the next complete read.
func (p *watchPosition) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.through, p.document = 0, 0
}

// ask notes that the store had a revision after a call that was sent at the given time.
func (p *watchPosition) ask(revision int64, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked, p.sent = revision, sent
}

// confirmed returns the configuration's revision that is confirmed as of sent, once for each ask.
func (p *watchPosition) confirmed() (document int64, sent time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked == 0 || p.through < p.asked || p.document == 0 {
		return 0, time.Time{}, false
	}
	p.asked = 0
	return p.document, p.sent, true
}

// documentRevision returns the revision of a configuration, 0 if it can't be read.
func documentRevision(value []byte) int64 {
	d, err := configuration.Unmarshal(value)
	if err != nil {
		return 0
	}
	return d.Revision
}

// confirmByWatch applies a confirmation that the watch has brought.
func (n *Node) confirmByWatch() {
	document, sent, ok := n.position.confirmed()
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holder.Confirm(document, sent)
}
