// Package quota decides which team is served next and how much each may run.
package quota

import "sequoiastall/internal/core/resource"

// AllowanceRequest asks a partition's owner to give up a part of its allowance of a team's upper limit.
type AllowanceRequest struct {
	Team   string
	From   string // partition that gives
	To     string // partition that takes
	Amount resource.Vector
}

// AllowanceReply tells how much was moved; the record allowance/<team> already shows it.
type AllowanceReply struct {
	Moved    resource.Vector
	Revision int64 // store revision of the record after the move
}
