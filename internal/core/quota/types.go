// Package quota orders teams by their use relative to their share, and tracks how much of its limit each team may use in
// a partition.
package quota

import "sequoiastall/internal/core/resource"

// AllowanceRequest asks a partition's owner to transfer a part of its allowance, which is its part of a team's upper
// limit, to another partition.
type AllowanceRequest struct {
	Team   string
	From   string // donating partition
	To     string // receiving partition
	Amount resource.Vector
}

// AllowanceReply reports how much was moved. The record allowance/<team> already reflects the move.
type AllowanceReply struct {
	Moved    resource.Vector
	Revision int64 // store revision of the record after the move
}
