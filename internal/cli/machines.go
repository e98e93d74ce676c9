package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/structs"
)

func (a *app) workerCommand() *cli.Command {
	action := func(name operatorapi.WorkerAction, usage, description string) *cli.Command {
		return &cli.Command{
			Name: string(name), Usage: usage, Description: description, ArgsUsage: "WORKER",
			Action: func(ctx context.Context, c *cli.Command) error { return a.actOnWorker(ctx, c, name) },
		}
	}
	return &cli.Command{
		Name: "worker", Usage: "list and drain workers",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list workers with their load",
				Flags: append(watchFlags(), &cli.StringFlag{Name: "domain", Usage: "only workers of the failure domain `NAME`"}),
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.watch(ctx, c, func(ctx context.Context) error { return a.listWorkers(ctx, c) })
				},
			},
			action(operatorapi.WorkerDrain, "start no more tasks on a worker and move its tasks away", ""),
			action(operatorapi.WorkerUndrain, "use a drained worker again", ""),
			action(operatorapi.WorkerConfirmStopped, "confirm that a worker runs nothing",
				"Use this only after you have made sure that the worker is off. Its tasks are then placed again."),
		},
	}
}

func (a *app) listWorkers(ctx context.Context, c *cli.Command) error {
	list, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.WorkerList, error) {
		return client.Workers(ctx)
	})
	if err != nil {
		return err
	}
	if domain := c.String("domain"); domain != "" {
		list.Workers = filterWorkers(list.Workers, structs.FailureDomain(domain))
	}
	return a.print(c, list, workerTable(list.Workers))
}

func filterWorkers(workers []operatorapi.WorkerStatus, domain structs.FailureDomain) []operatorapi.WorkerStatus {
	var kept []operatorapi.WorkerStatus
	for _, w := range workers {
		if w.Worker.Location.FailureDomain == domain {
			kept = append(kept, w)
		}
	}
	return kept
}

func workerTable(workers []operatorapi.WorkerStatus) table {
	t := table{header: []string{"WORKER", "DOMAIN", "RACK", "STATE", "CORES", "USED", "MEMORY", "USED", "ACCEL", "TASKS", "UNCONFIRMED", "NOTE"}}
	for _, w := range workers {
		capacity := w.Worker.Capacity
		t.add(string(w.Worker.ID), string(w.Worker.Location.FailureDomain), orDash(string(w.Worker.Location.Rack)), workerState(w),
			ratio(formatCores(w.Reserved), formatCores(capacity)), formatCores(w.Used), ratio(formatGiB(w.Reserved), formatGiB(capacity)), formatGiB(w.Used),
			ratio(strconv.FormatInt(w.Reserved.Accelerators, 10), strconv.FormatInt(capacity.Accelerators, 10)),
			strconv.Itoa(w.Tasks), strconv.Itoa(w.Unconfirmed), workerNote(w))
	}
	return t
}

// workerNote returns the reasons for which a worker gets no new tasks, or a dash.
func workerNote(w operatorapi.WorkerStatus) string {
	var notes []string
	if w.Unreachable {
		notes = append(notes, "no answer since "+formatTime(w.UnreachableSince))
	}
	if w.Quarantined {
		notes = append(notes, w.QuarantineReason)
	}
	return orDash(strings.Join(notes, "; "))
}

func workerState(w operatorapi.WorkerStatus) string {
	states := []string{string(w.Worker.State)}
	if w.Draining {
		states = append(states, "draining")
	}
	if w.Quarantined {
		states = append(states, "quarantined")
	}
	if w.Unreachable {
		states = append(states, "unreachable")
	}
	return strings.Join(states, ",")
}

func (a *app) actOnWorker(ctx context.Context, c *cli.Command, action operatorapi.WorkerAction) error {
	id, err := oneArg(c, "worker identifier")
	if err != nil {
		return err
	}
	status, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.WorkerStatus, error) {
		return client.ActOnWorker(ctx, structs.WorkerID(id), action)
	})
	if err != nil {
		return err
	}
	return a.print(c, status, workerTable([]operatorapi.WorkerStatus{status}))
}

func (a *app) instanceCommand() *cli.Command {
	return &cli.Command{
		Name: "instance", Usage: "list and drain instances of mangodrumd",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list instances with their health, shards and settings version", Flags: watchFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.watch(ctx, c, func(ctx context.Context) error { return a.listInstances(ctx, c) })
				},
			},
			{
				Name: "drain", Usage: "hand over an instance's shards and let its requests end", ArgsUsage: "INSTANCE",
				Action: a.drainInstance,
			},
		},
	}
}

func instanceTable(instances []operatorapi.InstanceStatus) table {
	t := table{header: []string{"INSTANCE", "DOMAIN", "HEALTH", "SETTINGS", "STORE", "IN FLIGHT", "SHARDS", "CALLERS", "OPERATORS"}}
	for _, i := range instances {
		health := string(i.Health)
		if i.Draining {
			health += ",draining"
		}
		t.add(string(i.Info.ID), string(i.Info.Location.FailureDomain), health, strconv.FormatUint(i.SettingsVersion, 10), orDash(string(i.Store)),
			strconv.Itoa(i.RequestsInFlight), joinIDs(i.Shards), i.Info.CallerAddress, i.Info.OperatorAddress)
	}
	return t
}

func (a *app) listInstances(ctx context.Context, c *cli.Command) error {
	list, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.InstanceList, error) {
		return client.Instances(ctx)
	})
	if err != nil {
		return err
	}
	return a.print(c, list, instanceTable(list.Instances))
}

func (a *app) drainInstance(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "instance identifier")
	if err != nil {
		return err
	}
	status, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.InstanceStatus, error) {
		return client.DrainInstance(ctx, structs.InstanceID(id))
	})
	if err != nil {
		return err
	}
	return a.print(c, status, instanceTable([]operatorapi.InstanceStatus{status}))
}

func (a *app) queueCommand() *cli.Command {
	return &cli.Command{
		Name: "queue", Usage: "show queues and waiting times",
		Commands: []*cli.Command{{
			Name: "list", Usage: "list queues by team and class", Flags: watchFlags(),
			Action: func(ctx context.Context, c *cli.Command) error {
				return a.watch(ctx, c, func(ctx context.Context) error { return a.listQueues(ctx, c) })
			},
		}},
	}
}

func (a *app) listQueues(ctx context.Context, c *cli.Command) error {
	list, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.QueueList, error) {
		return client.Queues(ctx)
	})
	if err != nil {
		return err
	}
	return a.printText(c, list, func() string { return queueText(list) })
}

func queueText(list operatorapi.QueueList) string {
	queues := table{header: []string{"SHARD", "TEAM", "CLASS", "DEPTH", "OLDEST", "SHARE", "FLOOR"}}
	for _, q := range list.Queues {
		queues.add(string(q.Shard), string(q.Team), string(q.Class), strconv.Itoa(q.Depth), formatDuration(q.OldestAge),
			fmt.Sprintf("%.3f", q.Share), fmt.Sprintf("%.3f", q.Floor))
	}
	text := queues.String()
	if len(list.Classes) > 0 {
		classes := table{header: []string{"CLASS", "STARTS", "WAIT P50", "WAIT P99"}}
		for _, w := range list.Classes {
			classes.add(string(w.Class), strconv.FormatUint(w.Count, 10), formatDuration(w.P50), formatDuration(w.P99))
		}
		text += "\n" + classes.String()
	}
	if list.Store.Reachable {
		text += fmt.Sprintf("\nstore reachable since %s; %d records wait\n", formatTime(list.Store.Since), list.Store.PendingRecords)
	} else {
		text += fmt.Sprintf("\nstore unreachable since %s: %s; %d records wait\n",
			formatTime(list.Store.Since), orDash(list.Store.LastError), list.Store.PendingRecords)
	}
	return text
}
