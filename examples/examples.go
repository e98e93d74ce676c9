// Package examples embeds the settings, jobs, requests, instance files and
// topologies of two users of the system, one cell each, and decodes them.
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

// Names lists the names of the examples.
var Names = []string{"bureau", "sierra-alta"}

// instanceCount is the number of instance files of each example.
const instanceCount = 3

// FS returns the files of all examples, in one directory for each example.
func FS() fs.FS { return files }

// readFile returns a file of the example and its path in the repository.
func readFile(name, file string) (string, []byte, error) {
	filePath := path.Join(name, file)
	data, err := files.ReadFile(filePath)
	if err != nil {
		return "", nil, errs.Wrap(err, errs.InvalidInput, "use one of: "+strings.Join(Names, ", "), "example %q", name)
	}
	return "examples/" + filePath, data, nil
}

// Settings returns the settings tree of the example.
func Settings(name string) (*settings.Tree, error) {
	file, data, err := readFile(name, "settings.yaml")
	if err != nil {
		return nil, err
	}
	return settings.Decode(file, data)
}

// Cell returns the workers, the executors and the three instances of the
// example. Workers and executors have no addresses.
func Cell(name string) ([]structs.Worker, []structs.Executor, []structs.InstanceInfo, error) {
	topology, err := Topology(name)
	if err != nil {
		return nil, nil, nil, err
	}
	var infos []structs.InstanceInfo
	for n := 1; n <= instanceCount; n++ {
		instance, err := Instance(name, n)
		if err != nil {
			return nil, nil, nil, err
		}
		infos = append(infos, instance.Info())
	}
	workers, executors := topology.WorkersAndExecutors()
	return workers, executors, infos, nil
}

// Topology returns the cell file of the example.
func Topology(name string) (*config.Cell, error) {
	file, data, err := readFile(name, "cell.yaml")
	if err != nil {
		return nil, err
	}
	return config.DecodeCell(file, data)
}

// Instance returns the n-th instance file of the example, counted from 1.
func Instance(name string, n int) (*config.Instance, error) {
	file, data, err := readFile(name, fmt.Sprintf("instance-%d.yaml", n))
	if err != nil {
		return nil, err
	}
	return config.DecodeInstance(file, data)
}

// Jobs returns all jobs of the example in the order of their files.
func Jobs(name string) ([]structs.Job, error) {
	var jobs []structs.Job
	err := forEachFile(name, "jobs", func(file string, data []byte) error {
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
	err := forEachFile(name, "requests", func(file string, data []byte) error {
		request, err := config.DecodeRequest(file, data)
		requests[strings.TrimSuffix(path.Base(file), ".yaml")] = request
		return err
	})
	return requests, err
}

// forEachFile calls visit for every file in a directory of the example, in the order of
// the names.
func forEachFile(name, dir string, visit func(file string, data []byte) error) error {
	entries, err := files.ReadDir(path.Join(name, dir))
	if err != nil {
		return errs.Wrap(err, errs.InvalidInput, "use one of: "+strings.Join(Names, ", "), "example %q", name)
	}
	for _, entry := range entries {
		file, data, err := readFile(name, path.Join(dir, entry.Name()))
		if err != nil {
			return err
		}
		if err := visit(file, data); err != nil {
			return err
		}
	}
	return nil
}
