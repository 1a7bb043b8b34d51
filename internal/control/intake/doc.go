// Package intake writes what the nodes answer to callers about accepting and canceling jobs into the store, so that an answer
// stays true whatever is still under way when it is given.
//
//   - submission.go: a job's record
//   - tombstone.go: the cancellation of a job that doesn't exist, which keeps late submissions from being accepted
//   - window.go: bounds how late the store may carry out a submission, so that tombstones need not stay forever
//   - standstill.go: bounds how old a submission may be when a node reads it
//   - lease.go: store leases to which the keys above are bound, so that they are removed without a further call
package intake
