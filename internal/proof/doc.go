// Package proof holds fault-injection tests of a cell that runs as separate processes on loopback: processes are killed
// or paused, connections are closed or stop carrying data, and the store fails. The tests assert outcomes, never speed.
package proof
