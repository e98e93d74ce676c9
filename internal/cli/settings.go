package cli

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

func (a *app) settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "read and change the settings of the cell",
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "print the settings, or the effective settings of one branch",
				Description: "The first line names the version, which `settings apply` takes as the base of a change.\n\n" +
					"Examples:\n  mangodrum settings get > settings.yaml\n  mangodrum settings get --path /bureau/dispatch",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "version", Usage: "the version `NUMBER` instead of the one in force"},
					&cli.StringFlag{Name: "path", Usage: "print the effective settings of the branch `PATH` and where each comes from"},
				},
				Action: a.getSettings,
			},
			a.applyCommand(), a.rollbackCommand(), a.diffCommand(),
			{
				Name: "history", Usage: "list versions, newest first",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "limit", Value: 20, Usage: "largest `NUMBER` of versions"},
					&cli.Uint64Flag{Name: "before", Usage: "only versions below `NUMBER`"},
				},
				Action: a.settingsHistory,
			},
			{
				Name: "status", Usage: "show the version in force at each instance", Flags: watchFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.watch(ctx, c, func(ctx context.Context) error { return a.settingsStatus(ctx, c) })
				},
			},
		},
	}
}

func (a *app) getSettings(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	query := operatorapi.SettingsQuery{Version: c.Uint64("version"), Path: structs.TeamID(c.String("path"))}
	reply, err := a.fetchSettings(ctx, c, query)
	if err != nil {
		return err
	}
	return a.printText(c, reply, func() string {
		if query.Path == "" {
			return versionLine(reply.Version) + reply.YAML
		}
		t := table{header: []string{"FIELD", "VALUE", "FROM"}}
		for _, field := range reply.Fields {
			t.add(field.Field, field.Value, field.From)
		}
		return t.String()
	})
}

func (a *app) fetchSettings(ctx context.Context, c *cli.Command, query operatorapi.SettingsQuery) (operatorapi.SettingsResponse, error) {
	return call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.SettingsResponse, error) {
		return client.Settings(ctx, query)
	})
}

// versionLine returns the first line of a settings file, a comment with the
// version that the file holds. settings apply takes it as the base.
func versionLine(v settings.Version) string {
	reason := strings.Join(strings.Fields(v.Reason), " ")
	author := strings.Join(strings.Fields(v.Author), " ")
	return fmt.Sprintf("# settings version %d by %s at %s: %s\n", v.Number, author, formatTime(v.At), reason)
}

var versionPattern = regexp.MustCompile(`^# settings version ([0-9]{1,18})\b`)

// baseVersion returns the version in the first line of a file that versionLine wrote,
// or 0 if there is none.
func baseVersion(data []byte) uint64 {
	match := versionPattern.FindSubmatch(data)
	if match == nil {
		return 0
	}
	number, err := strconv.ParseUint(string(match[1]), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

func (a *app) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what a file or a version changes and which teams and jobs it affects", ArgsUsage: "[OLD NEW]",
		Description: "With a file, compares it with the version in force. With two version numbers, compares these.\n\n" +
			"Examples:\n  mangodrum settings diff -f settings.yaml\n  mangodrum settings diff 11 12",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "settings `FILE`, or - for the standard input"},
		},
		Action: a.diffSettings,
	}
}

func (a *app) diffSettings(ctx context.Context, c *cli.Command) error {
	var impact settings.Impact
	var err error
	switch {
	case c.String("file") != "" && !c.Args().Present():
		impact, err = a.diffFile(ctx, c)
	case c.String("file") == "" && c.Args().Len() == 2:
		impact, err = a.diffVersions(ctx, c)
	default:
		return usageError(c, "give either -f FILE or two version numbers")
	}
	if err != nil {
		return err
	}
	return a.printText(c, impact, func() string { return impactText(impact) })
}

func (a *app) diffFile(ctx context.Context, c *cli.Command) (settings.Impact, error) {
	data, err := a.readSettings(c.String("file"))
	if err != nil {
		return settings.Impact{}, err
	}
	reply, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.ApplyResponse, error) {
		return client.ApplySettings(ctx, operatorapi.ApplyRequest{YAML: string(data), DryRun: true})
	})
	return reply.Impact, err
}

// readSettings reads a settings file and checks it, so that errors are found
// before anything is sent.
func (a *app) readSettings(file string) ([]byte, error) {
	data, err := a.readInput(file)
	if err != nil {
		return nil, err
	}
	_, err = settings.Decode(file, data)
	return data, err
}

func (a *app) diffVersions(ctx context.Context, c *cli.Command) (settings.Impact, error) {
	var trees [2]*settings.Tree
	for i := range trees {
		number, err := versionArg(c, c.Args().Get(i))
		if err != nil {
			return settings.Impact{}, err
		}
		reply, err := a.fetchSettings(ctx, c, operatorapi.SettingsQuery{Version: number})
		if err != nil {
			return settings.Impact{}, err
		}
		if trees[i], err = settings.Decode(fmt.Sprintf("version %d", number), []byte(reply.YAML)); err != nil {
			return settings.Impact{}, err
		}
	}
	return settings.ImpactOf(trees[0], trees[1], nil), nil
}

func versionArg(c *cli.Command, text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, usageError(c, "%q is not a version number", text)
	}
	return number, nil
}

func impactText(impact settings.Impact) string {
	if len(impact.Changes) == 0 {
		return "no changes\n"
	}
	changes := table{header: []string{"PATH", "FIELD", "OLD", "NEW"}}
	for _, change := range impact.Changes {
		changes.add(change.Path, orDash(change.Field), orDash(change.Old), orDash(change.New))
	}
	text := changes.String()
	if len(impact.Classes) > 0 {
		text += fmt.Sprintf("\nclasses concerned: %s\n", joinIDs(impact.Classes))
	}
	if len(impact.Teams) == 0 {
		return text + "\nno team's effective settings change\n"
	}
	teams := table{header: []string{"TEAM", "JOBS", "EFFECTIVE CHANGES"}}
	for _, team := range impact.Teams {
		teams.add(string(team.Team), strconv.Itoa(team.Jobs), fieldSummary(team.Fields))
	}
	text += "\n" + teams.String()
	if len(impact.Jobs) > 0 {
		text += fmt.Sprintf("\njobs concerned: %s\n", joinIDs(impact.Jobs))
	}
	if len(impact.UnknownShards) > 0 {
		text += fmt.Sprintf("\nthe jobs of these shards could not be listed and are missing above: %s; repeat with --dry-run to see them\n", joinIDs(impact.UnknownShards))
	}
	return text
}

// maxListedFields bounds the fields listed for a team. A new branch changes all
// its fields, which would make the table unreadable.
const maxListedFields = 4

func fieldSummary(fields []settings.Change) string {
	var parts []string
	for i, field := range fields {
		if i == maxListedFields {
			parts = append(parts, fmt.Sprintf("and %d more", len(fields)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s: %s -> %s", field.Field, orDash(field.Old), orDash(field.New)))
	}
	return strings.Join(parts, ", ")
}

func (a *app) settingsHistory(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	if c.Int("limit") < 1 {
		return errs.New(errs.InvalidInput, "use a limit of at least 1", "--limit: %d", c.Int("limit"))
	}
	query := operatorapi.HistoryQuery{BeforeVersion: c.Uint64("before"), Limit: c.Int("limit")}
	history, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.HistoryResponse, error) {
		return client.SettingsHistory(ctx, query)
	})
	if err != nil {
		return err
	}
	t := table{header: []string{"VERSION", "AT", "AUTHOR", "CHANGES", "REASON"}}
	for _, v := range history.Versions {
		t.add(strconv.FormatUint(v.Number, 10), formatTime(v.At), v.Author, strconv.Itoa(len(v.Diff)), v.Reason)
	}
	return a.print(c, history, t)
}

func (a *app) settingsStatus(ctx context.Context, c *cli.Command) error {
	status, err := a.fetchStatus(ctx, c)
	if err != nil {
		return err
	}
	t := table{header: []string{"INSTANCE", "VERSION", "STATUS", "REPORTED"}}
	for _, i := range status.Instances {
		t.add(string(i.Instance), strconv.FormatUint(i.Version, 10), string(i.Health), formatTime(i.ReportedAt))
	}
	return a.print(c, status, t)
}

func (a *app) fetchStatus(ctx context.Context, c *cli.Command) (operatorapi.SettingsStatus, error) {
	return call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.SettingsStatus, error) {
		return client.SettingsStatus(ctx)
	})
}
