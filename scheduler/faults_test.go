package scheduler

import (
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// setStoreUp ends or begins an outage of the store. Waiting commits succeed at
// its end.
func (c *simulation) setStoreUp(up bool) {
	c.storeUp = up
	if !up {
		return
	}
	for _, commit := range c.heldCommits {
		commit()
	}
	c.heldCommits = nil
}

// restart replaces the owner. Records that are not committed are lost.
func (c *simulation) restart() {
	c.epoch++
	c.heldCommits = nil
	c.cfg.Epoch++
	c.cfg.PreviousHorizon = c.s.horizon
	s, err := Restore(c.cfg, nil, c.log)
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

// kill stops a worker and all its tasks.
func (c *simulation) kill(id structs.WorkerID) {
	w := c.workers[id]
	for _, r := range w.runs {
		if r.report.Status == provider.RunRunning {
			delete(c.active, r.report.Task)
		}
	}
	w.runs, w.used, w.dead = nil, structs.Resources{}, true
}
