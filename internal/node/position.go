package node

import (
	"sync"
	"time"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/port"
)

// watchPosition tracks which revision the state watch has reached. Events arrive in revision order, so a watch that has
// reached the revision that the store had at some moment has delivered every configuration published before that
// moment. This confirms the configuration without reading it, which at the target size would cost about 100 KB a
// second.
type watchPosition struct {
	mu             sync.Mutex
	storeRevision  int64     // store revision of the last event
	configRevision int64     // revision of the configuration at storeRevision, 0 if unknown
	targetRevision int64     // store revision whose delivery confirms the configuration, 0 if none
	targetSentAt   time.Time // when the call was sent that returned targetRevision
}

// load sets the position to the revision of a complete read.
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

// advance moves the position past the events.
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

// revision returns the store revision from which a new watch can resume, 0 if the complete state has to be read.
func (p *watchPosition) revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeRevision
}

// reset discards the position. Nothing is confirmed until the next complete read.
func (p *watchPosition) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeRevision, p.configRevision = 0, 0
}

// setTarget sets the revision to reach: the store had it after a call that was sent at the given time.
func (p *watchPosition) setTarget(revision int64, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetRevision, p.targetSentAt = revision, sent
}

// takeConfirmation returns the configuration revision that is confirmed as of sent, once for each target.
func (p *watchPosition) takeConfirmation() (configRevision int64, sent time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targetRevision == 0 || p.storeRevision < p.targetRevision || p.configRevision == 0 {
		return 0, time.Time{}, false
	}
	p.targetRevision = 0
	return p.configRevision, p.targetSentAt, true
}

// parseConfigRevision returns the revision of an encoded configuration, 0 if it can't be decoded.
func parseConfigRevision(value []byte) int64 {
	d, err := configuration.Unmarshal(value)
	if err != nil {
		return 0
	}
	return d.Revision
}

// confirmByWatch confirms the configuration if the watch has reached the target revision.
func (n *Node) confirmByWatch() {
	configRevision, sent, ok := n.position.takeConfirmation()
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configHolder.Confirm(configRevision, sent)
}
