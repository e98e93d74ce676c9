// Package examples holds the settings, jobs, requests and topologies of two
// users of the system, as files and as loaded values.
package examples

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"strings"

	"github.com/mangodrum/mangodrum/config"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

//go:embed bureau sierra-alta
var files embed.FS

// Names lists the examples.
var Names = []string{"bureau", "sierra-alta"}

// instances is the number of instance files of each example.
const instances = 3

// FS returns all files, each below the name of its example.
func FS() fs.FS { return files }

func read(name, file string) (string, []byte, error) {
	full := path.Join(name, file)
	data, err := files.ReadFile(full)
	if err != nil {
		return "", nil, errs.Wrap(err, errs.InvalidInput, "use one of: "+strings.Join(Names, ", "), "example %q", name)
	}
	return "examples/" + full, data, nil
}

// Settings returns the settings tree of the example.
func Settings(name string) (*settings.Tree, error) {
	file, data, err := read(name, "settings.yaml")
	if err != nil {
		return nil, err
	}
	return settings.Decode(file, data)
}

// Cell returns the workers, executors and three instances of the example.
// Workers and executors have no addresses.
func Cell(name string) ([]structs.Worker, []structs.Executor, []structs.InstanceInfo, error) {
	topology, err := Topology(name)
	if err != nil {
		return nil, nil, nil, err
	}
	var infos []structs.InstanceInfo
	for n := 1; n <= instances; n++ {
		instance, err := Instance(name, n)
		if err != nil {
			return nil, nil, nil, err
		}
		infos = append(infos, instance.Info())
	}
	workers, executors := topology.Machines()
	return workers, executors, infos, nil
}

// Topology returns the cell file of the example.
func Topology(name string) (*config.Cell, error) {
	file, data, err := read(name, "cell.yaml")
	if err != nil {
		return nil, err
	}
	return config.DecodeCell(file, data)
}

// Instance returns the n-th instance file of the example, counted from 1.
func Instance(name string, n int) (*config.Instance, error) {
	file, data, err := read(name, fmt.Sprintf("instance-%d.yaml", n))
	if err != nil {
		return nil, err
	}
	return config.DecodeInstance(file, data)
}

// Jobs returns all jobs of the example in the order of their files.
func Jobs(name string) ([]structs.Job, error) {
	var jobs []structs.Job
	err := each(name, "jobs", func(file string, data []byte) error {
		list, err := config.DecodeJobs(file, data)
		jobs = append(jobs, list...)
		return err
	})
	return jobs, err
}

// Requests returns all requests of the example by the name of their file
// without its extension.
func Requests(name string) (map[string]*config.Request, error) {
	requests := map[string]*config.Request{}
	err := each(name, "requests", func(file string, data []byte) error {
		request, err := config.DecodeRequest(file, data)
		requests[strings.TrimSuffix(path.Base(file), ".yaml")] = request
		return err
	})
	return requests, err
}

func each(name, folder string, visit func(file string, data []byte) error) error {
	entries, err := files.ReadDir(path.Join(name, folder))
	if err != nil {
		return errs.Wrap(err, errs.InvalidInput, "use one of: "+strings.Join(Names, ", "), "example %q", name)
	}
	for _, entry := range entries {
		file, data, err := read(name, path.Join(folder, entry.Name()))
		if err != nil {
			return err
		}
		if err := visit(file, data); err != nil {
			return err
		}
	}
	return nil
}
