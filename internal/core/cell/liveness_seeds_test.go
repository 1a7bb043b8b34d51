package cell

import "testing"

// Guards against the return of standstills that the simulation has found. Each cell failed on the code before the fix that its
// name tells.
func TestCellsThatStoodStill(t *testing.T) {
	for _, c := range []struct {
		name string
		p    liveParameters
		seed uint64
	}{
		{"gang that asked about no further workers, 8 workers", liveParameters{workers: 8, adviceNodes: 3, admitted: 8, outages: 0.1,
			arrivals: 2.553924560546875, faultsPerSecond: 4, labelled: 2, gangs: 0.3, spread: 0.3, others: 4, slowAdvice: 0.1}, 0x7},
		{"gang that asked about no further workers, 48 workers", liveParameters{workers: 48, adviceNodes: 6, admitted: 8, outages: 0.1,
			arrivals: 2.399275668642076, failing: 0.1, faultsPerSecond: 4, labelled: 1, gangs: 0.8, spread: 0.8}, 0x3cbb269e},
		{"denial while a worker was down, 4 workers", liveParameters{workers: 4, adviceNodes: 4, admitted: 2, outages: 0.1,
			arrivals: 2.855224609375, crashing: 0.5, faultsPerSecond: 1.2386520343119827, labelled: 1, gangs: 0.3, spread: 0.3, others: 4}, 0x17e625ba5b7873},
		{"denial while a worker was down, 16 workers", liveParameters{workers: 16, adviceNodes: 2, admitted: 1, outages: 0.1,
			arrivals: 0.9869708716869354, failing: 0.5, faultsPerSecond: 1.0425097243860364, labelled: 8, gangs: 0.1, spread: 0.1}, 0x1},
		{"requests that were withdrawn again and again", liveParameters{workers: 8, adviceNodes: 3, admitted: 1, outages: 0.1,
			arrivals: 8, failing: 0.5, faultsPerSecond: 3.740247964859009, labelled: 8, gangs: 0.8, spread: 0.1, others: 2, slowAdvice: 0.1}, 0x59},
		{"queue sent to another service, few faults", liveParameters{workers: 8, adviceNodes: 6, admitted: 16, outages: 0.5,
			arrivals: 1.6830257338933023, crashing: 0.5, faultsPerSecond: 1.2297801413720562, labelled: 2, gangs: 0.1, spread: 0.8, others: 1,
			moves: 0.1, slowAdvice: 0.1}, 0x1a},
		{"queue sent to another service, many faults", liveParameters{workers: 8, adviceNodes: 6, admitted: 16,
			arrivals: 0.6923417255077311, crashing: 0.1, faultsPerSecond: 4, labelled: 4, gangs: 0.8, spread: 0.1, others: 4, moves: 0.1}, 0x953},
	} {
		t.Run(c.name, func(t *testing.T) { newLiveCell(t, c.p, c.seed).play() })
	}
}
