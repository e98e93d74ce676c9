package config

import (
	"fmt"

	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// Cell is the topology of a cell, as the stand-in for the platform serves it.
type Cell struct {
	strictyaml.Header
	Name      string        `yaml:"name" required:"true" pattern:"^[a-z][a-z0-9-]{0,39}$" doc:"Name of the cell."`
	RackSize  int           `yaml:"rack_size" required:"true" min:"1" max:"100" doc:"Largest number of workers in a rack."`
	Latency   CellLatency   `yaml:"latency" required:"true"`
	Executors CellExecutors `yaml:"executors" required:"true"`
	Regions   []CellRegion  `yaml:"regions" required:"true" doc:"Regions of the cell."`
}

// CellLatency holds the round-trip times of the network.
type CellLatency struct {
	BetweenFailureDomains settings.Duration `yaml:"between_failure_domains" required:"true" min:"0s" max:"10s" doc:"Between failure domains of a region."`
	BetweenRegions        settings.Duration `yaml:"between_regions" required:"true" min:"0s" max:"10s" doc:"Between regions."`
	ToClients             settings.Duration `yaml:"to_clients" required:"true" min:"0s" max:"10s" doc:"Between an instance and its clients."`
}

// CellExecutors describes the executors of the cell's service.
type CellExecutors struct {
	Service     string `yaml:"service" required:"true" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Name of the service."`
	Slots       int    `yaml:"slots" required:"true" min:"1" max:"10000" doc:"Requests that one executor runs at a time."`
	Connections int    `yaml:"connections" required:"true" min:"1" max:"100000" doc:"Connections that one executor accepts."`
}

// CellRegion is a region and its failure domains.
type CellRegion struct {
	Name           structs.Region      `yaml:"name" required:"true" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Name of the region."`
	FailureDomains []CellFailureDomain `yaml:"failure_domains" required:"true" doc:"Failure domains of the region."`
}

// CellFailureDomain is a failure domain with its executors and workers.
type CellFailureDomain struct {
	Name      structs.FailureDomain `yaml:"name" required:"true" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Name of the failure domain; unique in the cell."`
	Executors int                   `yaml:"executors" min:"0" max:"10000" doc:"Number of executors."`
	Workers   []CellWorkerGroup     `yaml:"workers" doc:"Groups of equal workers."`
}

// CellWorkerGroup is a group of equal workers.
type CellWorkerGroup struct {
	Count        int               `yaml:"count" required:"true" min:"1" max:"10000" doc:"Number of workers."`
	Cores        settings.Cores    `yaml:"cores" required:"true" min:"0.001" max:"10000" doc:"Cores of one worker."`
	Memory       settings.Bytes    `yaml:"memory" required:"true" min:"1MiB" max:"1024TiB" doc:"Memory of one worker."`
	Accelerators int               `yaml:"accelerators" min:"0" max:"100" doc:"Accelerators of one worker."`
	Labels       map[string]string `yaml:"labels" doc:"Labels of the workers."`
}

// DecodeCell reads a cell file.
func DecodeCell(file string, data []byte) (*Cell, error) {
	cell := &Cell{}
	report, err := decodeOne(file, data, KindCell, cell)
	if err != nil {
		return nil, err
	}
	seen := map[structs.FailureDomain]bool{}
	for i, region := range cell.Regions {
		for j, domain := range region.FailureDomains {
			if seen[domain.Name] && domain.Name != "" {
				report.Add(fmt.Sprintf("regions[%d].failure_domains[%d].name", i, j),
					"give every failure domain its own name", "%q appears twice", domain.Name)
			}
			seen[domain.Name] = true
		}
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	return cell, nil
}

// WorkersAndExecutors returns the workers and executors of the cell, without addresses.
// Each failure domain fills its racks one after the other, with RackSize
// workers in each.
func (c *Cell) WorkersAndExecutors() ([]structs.Worker, []structs.Executor) {
	var workers []structs.Worker
	var executors []structs.Executor
	for _, region := range c.Regions {
		for _, domain := range region.FailureDomains {
			location := structs.Location{Region: region.Name, FailureDomain: domain.Name}
			workers = append(workers, c.workers(domain, location)...)
			executors = append(executors, c.executors(domain, location)...)
		}
	}
	return workers, executors
}

func (c *Cell) workers(domain CellFailureDomain, location structs.Location) []structs.Worker {
	var list []structs.Worker
	for _, group := range domain.Workers {
		for range group.Count {
			n := len(list)
			location.Rack = structs.Rack(fmt.Sprintf("%s-r%d", domain.Name, n/c.RackSize+1))
			list = append(list, structs.Worker{
				ID:       structs.WorkerID(fmt.Sprintf("%s-w%02d", domain.Name, n+1)),
				Location: location,
				Capacity: structs.Resources{
					MilliCPU:     int64(group.Cores),
					MemoryBytes:  int64(group.Memory),
					Accelerators: int64(group.Accelerators),
				},
				Labels: group.Labels,
				State:  structs.Live,
			})
		}
	}
	return list
}

func (c *Cell) executors(domain CellFailureDomain, location structs.Location) []structs.Executor {
	list := make([]structs.Executor, domain.Executors)
	for i := range list {
		list[i] = structs.Executor{
			ID:       structs.ExecutorID(fmt.Sprintf("%s-%s%02d", c.Executors.Service, domain.Name, i+1)),
			Service:  c.Executors.Service,
			Location: location,
			Slots:    c.Executors.Slots, Connections: c.Executors.Connections,
			State: structs.Live,
		}
	}
	return list
}
