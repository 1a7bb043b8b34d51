package control

import (
	"strings"

	"sequoiastall/internal/core/cell"
)

// Keys of the store.
//
//	sequoiastall/scheduler      the scheduling node; bound to a store lease
//	sequoiastall/term           the number of the last term, which is the fencing token of its orders
//	sequoiastall/in/job/ID      an accepted job; written by the node that accepts it
//	sequoiastall/in/cancel/ID   the job's cancellation; written by the node that acknowledges it
//	sequoiastall/progress/ID    where the job's tasks may run and which are done; written by the scheduling node
//	sequoiastall/done/ID        the job's final record; replaces the job's three keys above
const (
	keyPrefix      = "sequoiastall/"
	schedulerKey   = keyPrefix + "scheduler"
	termKey        = keyPrefix + "term"
	inPrefix       = keyPrefix + "in/"
	jobPrefix      = inPrefix + "job/"
	cancelPrefix   = inPrefix + "cancel/"
	progressPrefix = keyPrefix + "progress/"
	donePrefix     = keyPrefix + "done/"
)

func jobKey(id cell.JobID) string      { return jobPrefix + string(id) }
func cancelKey(id cell.JobID) string   { return cancelPrefix + string(id) }
func progressKey(id cell.JobID) string { return progressPrefix + string(id) }
func doneKey(id cell.JobID) string     { return donePrefix + string(id) }

// idIn returns the job ID in a key with the given prefix, and whether the key has the prefix.
func idIn(key, prefix string) (cell.JobID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	return cell.JobID(rest), ok
}
