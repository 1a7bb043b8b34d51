// Package workerproc provides workers of the users' platform as separate processes, for tests with real clocks, pauses and
// kills. A test binary runs itself as a worker (see Main). A Fleet starts the processes, sends them commands that inject
// faults and receives the events of their runs. What a task does is described by its job's specification.
package workerproc
