package workerproc

import (
	"fmt"
	"sync"
)

// gangs lets the members of each gang begin their work together, and breaks a gang when one of its members ends.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[string]Event // starts by gang (step and run) and task
	send    func(worker string, life int, c Command)
}

func newGangs(send func(worker string, life int, c Command)) *gangs {
	return &gangs{members: map[string]map[string]Event{}, send: send}
}

// observe takes note of an event of a worker.
func (g *gangs) observe(e Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch e.Kind {
	case Started:
		g.started(e)
	case Ended:
		name, err := ParseTask(e.Task)
		if err != nil {
			return
		}
		gang := gangName(name, e.Run)
		if e.Outcome == Done {
			delete(g.members, gang) // the others end done at the same time
			return
		}
		g.ended(gang, e.Task, e.Worker)
	case Down:
		g.down(e)
	}
}

func gangName(name TaskName, run int) string { return fmt.Sprint(name.StepName(), " ", run) }

func (g *gangs) started(e Event) {
	name, err := ParseTask(e.Task)
	if err != nil {
		return
	}
	_, step := behaviour(e.Spec, name)
	if !step.Gang {
		return
	}
	gang := gangName(name, e.Run)
	if g.members[gang] == nil {
		g.members[gang] = map[string]Event{}
	}
	g.members[gang][e.Task] = e
	if len(g.members[gang]) < step.Count {
		return
	}
	begin := Now()
	for task, m := range g.members[gang] {
		g.send(m.Worker, m.Life, Command{Op: beginGang, Task: task, Run: m.Run, At: begin})
	}
}

// ended removes a member that ended on a worker, and breaks its gang if that was complete.
func (g *gangs) ended(gang, task, worker string) {
	members := g.members[gang]
	m, present := members[task]
	if !present || m.Worker != worker {
		return
	}
	name, _ := ParseTask(task)
	_, step := behaviour(m.Spec, name)
	complete := len(members) == step.Count
	delete(members, task)
	if !complete {
		return
	}
	delete(g.members, gang)
	for task, m := range members {
		g.send(m.Worker, m.Life, Command{Op: breakGang, Task: task, Run: m.Run})
	}
}

func (g *gangs) down(e Event) {
	for gang, members := range g.members {
		for task, m := range members {
			if m.Worker == e.Worker && m.Life == e.Life {
				g.ended(gang, task, m.Worker)
			}
		}
	}
}
