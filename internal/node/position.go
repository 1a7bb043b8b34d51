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
	mu             sync.Mutex
	storeRevision  int64 // store revision of the last event
	configRevision int64 // revision of the configuration as of through, 0 if unknown
	targetRevision int64 // store revision that has to be reached to confirm
	targetSentAt   time.Time
}

// load sets the position to that of a complete read.
func (p *watchPosition) load(entries []port.Entry, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configRevision = 0
	for _, e := range entries {
		if e.Key == port.ConfigKey {
			p.configRevision = parseConfigRevision(e.Value)
		}
	}
	p.storeRevision = revision
}

// advance moves the position past events.
func (p *watchPosition) advance(events []port.WatchEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range events {
		if e.Entry.Key == port.ConfigKey {
			p.configRevision = 0
			if !e.Deleted {
				p.configRevision = parseConfigRevision(e.Entry.Value)
			}
		}
		p.storeRevision = max(p.storeRevision, e.Entry.Revision)
	}
}

// revision returns the store revision from which a new watch can go on, 0 if everything has to be read.
func (p *watchPosition) revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeRevision
}

// reset gives the position up. Nothing is confirmed until the next complete read.
func (p *watchPosition) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeRevision, p.configRevision = 0, 0
}

// ask notes that the store had a revision after a call that was sent at the given time.
func (p *watchPosition) setTarget(revision int64, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetRevision, p.targetSentAt = revision, sent
}

// confirmed returns the configuration's revision that is confirmed as of sent, once for each ask.
func (p *watchPosition) takeConfirmation() (configRevision int64, sent time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targetRevision == 0 || p.storeRevision < p.targetRevision || p.configRevision == 0 {
		return 0, time.Time{}, false
	}
	p.targetRevision = 0
	return p.configRevision, p.targetSentAt, true
}

// documentRevision returns the revision of a configuration, 0 if it can't be read.
func parseConfigRevision(value []byte) int64 {
	d, err := configuration.Unmarshal(value)
	if err != nil {
		return 0
	}
	return d.Revision
}

// confirmByWatch applies a confirmation that the watch has brought.
func (n *Node) confirmByWatch() {
	document, sent, ok := n.position.takeConfirmation()
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configHolder.Confirm(document, sent)
}
