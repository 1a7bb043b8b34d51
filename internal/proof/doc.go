// Package proof holds tests that run a cell as separate processes on loopback and injure it: processes are killed or
// paused, connections cut or silenced, and the store fails. The tests assert outcomes, never speed.
package proof
