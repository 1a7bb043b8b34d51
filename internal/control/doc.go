// Package control runs a node of a cell on the users' platform. Every node answers callers. The node that holds the
// scheduling lease in the store also runs the cell's scheduler and sends orders to the workers.
//
// Every node:
//   - front.go, relay.go; packages intake and storekey: callers' jobs and questions, and the records in the store
//   - election.go, settling.go: who holds the term
//   - follower.go: a node that is attached to the scheduling node
//   - carrier_member.go: a member that executes calls to workers for the scheduling node
//
// The scheduling node:
//   - scheduling.go, committer.go, registry.go: the scheduler's goroutine, its records, the workers' registry
//   - members.go, delegate.go: the attached nodes, and the one that reads for the scheduling node in a large cell
//   - advisors.go: which node makes which call to the advice service
//   - links.go, lease.go, orders.go, hedge.go, unsettled.go: each worker's lease, orders and reports
//   - carriers.go, carrier_calls.go, carrier_stream.go, carrier_wire.go: which member makes a call to a worker, the call, the
//     stream to that member, and its encoding
package control
