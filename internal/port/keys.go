package port

import "sequoiastall/internal/core/configuration"

// Keys of the store. All but RequestPrefix lie below StatePrefix, which every node watches with a single watch: its
// events arrive in revision order, so a node that has received one write has received all earlier writes.
const (
	StatePrefix     = "cell/"
	ConfigKey       = configuration.StoreKey
	JobPrefix       = StatePrefix + "jobs/"
	ProgressPrefix  = StatePrefix + "progress/"
	AllowancePrefix = StatePrefix + "allowance/"
	NodePrefix      = StatePrefix + "nodes/"
	RequestPrefix   = "requests/"
)
