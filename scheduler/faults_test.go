package scheduler

import (
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// setTable ends or begins an outage of the table; held commits then succeed.
func (c *cell) setTable(up bool) {
	c.tableUp = up
	if !up {
		return
	}
	for _, commit := range c.pending {
		commit()
	}
	c.pending = nil
}

// restart replaces the owner: everything that is not committed is lost.
func (c *cell) restart() {
	c.epoch++
	c.pending = nil
	c.cfg.Epoch++
	c.cfg.PreviousHorizon = c.s.horizon
	s, err := Restore(c.cfg, nil, c.journal)
	if err != nil {
		panic(err)
	}
	c.s = s
	var infos []structs.Worker
	for _, id := range c.order {
		infos = append(infos, c.workers[id].info)
	}
	c.send(WorkersListed{Workers: infos})
}

// kill ends a worker and all it runs.
func (c *cell) kill(id structs.WorkerID) {
	w := c.workers[id]
	for _, r := range w.runs {
		if r.report.Status == provider.RunRunning {
			delete(c.active, r.report.Task)
		}
	}
	w.runs, w.used, w.dead = nil, structs.Resources{}, true
}
