// Package storekey names the keys that the nodes of a cell use in the store.
//
//	sequoiastall/scheduler      the scheduling node; bound to a store lease
//	sequoiastall/term           the number of the last term, which is the fencing token of its orders
//	sequoiastall/in/job/ID      an accepted job; written by the node that accepts it
//	sequoiastall/in/cancel/ID   the job's cancellation; written by the node that acknowledges it
//	sequoiastall/progress/ID    where the job's tasks may run and which are done; written by the scheduling node
//	sequoiastall/done/ID        the job's final record; replaces the job's three keys above
//	sequoiastall/tombstone/ID/TEAM  a team has canceled a job that didn't exist; bound to a store lease; written by the node that
//	                                acknowledges the cancellation. TEAM is a digest
//	sequoiastall/window/NODE        submissions of the node may be carried out; bound to a store lease; written by the node
package storekey

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"sequoiastall/internal/core/cell"
)

const prefix = "sequoiastall/"

// Keys of the term.
const (
	Scheduler = prefix + "scheduler"
	Term      = prefix + "term"
)

// Prefixes of the keys of jobs. In is the prefix of what the accepting nodes write and the scheduling node reads.
const (
	In       = prefix + "in/"
	Jobs     = In + "job/"
	Cancels  = In + "cancel/"
	Progress = prefix + "progress/"
	done     = prefix + "done/"
)

// Tombstones is the prefix of the keys that keep a team's canceled submissions from being accepted. The scheduling node
// doesn't read them.
const Tombstones = prefix + "tombstone/"

// Windows is the prefix of the keys that bound how late the store may carry out the submissions of a node.
const Windows = prefix + "window/"

// digestBytes is the length of a team's digest in a key. Names of teams may be longer than the store's keys.
const digestBytes = 16

// Job returns the key of an accepted job.
func Job(id cell.JobID) string { return Jobs + string(id) }

// Cancel returns the key of a job's cancellation.
func Cancel(id cell.JobID) string { return Cancels + string(id) }

// ProgressOf returns the key of a job's progress.
func ProgressOf(id cell.JobID) string { return Progress + string(id) }

// Done returns the key of a job's final record.
func Done(id cell.JobID) string { return done + string(id) }

// Tombstone returns the key that keeps a team's submission of a job from being accepted. team is empty for callers without
// a key.
func Tombstone(id cell.JobID, team string) string {
	digest := sha256.Sum256([]byte(team))
	return Tombstones + string(id) + "/" + hex.EncodeToString(digest[:digestBytes])
}

// Window returns the key of a node's submission window.
func Window(node string) string { return Windows + node }

// ID returns the job ID in a key with the given prefix, and whether the key has the prefix.
func ID(key, prefix string) (cell.JobID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	return cell.JobID(rest), ok
}
