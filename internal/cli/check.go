package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/config"
	"github.com/mangodrum/mangodrum/operatorapi"
)

func (a *app) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check instance, settings, job, request and cell files",
		Description: "Prints every problem with file, line, field and remedy and ends with exit code 2 if there is one.\n\n" +
			"Example:\n  mangodrum check --config examples/bureau/settings.yaml",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "config", Required: true, Usage: "`FILE` to check, or - for the standard input; may be repeated"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := noArgs(c); err != nil {
				return err
			}
			return a.checkFiles(c.StringSlice("config"))
		},
	}
}

func (a *app) checkFiles(files []string) error {
	var failures []error
	for _, file := range files {
		data, err := a.readInput(file)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		summary, err := config.Check(file, data)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		fmt.Fprintf(a.Out, "%s: ok: %s\n", file, summary)
	}
	if len(failures) == 1 {
		return failures[0]
	}
	return errors.Join(failures...)
}

func (a *app) versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the versions of this program and of the server",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "client", Usage: "only this program's version, without a call"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArgs(c); err != nil {
				return err
			}
			return a.showVersion(ctx, c)
		},
	}
}

// versions is the output of the version command.
type versions struct {
	Client string                   `json:"client"`
	Server *operatorapi.VersionInfo `json:"server,omitempty"`
}

func (a *app) showVersion(ctx context.Context, c *cli.Command) error {
	result := versions{Client: buildVersion()}
	if !c.Bool("client") {
		info, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.VersionInfo, error) {
			return client.Version(ctx)
		})
		if err != nil {
			return err
		}
		result.Server = &info
	}
	return a.printText(c, result, func() string {
		text := fmt.Sprintf("mangodrum %s\n", result.Client)
		if s := result.Server; s != nil {
			text += fmt.Sprintf("mangodrumd %s (%s), instance %s, settings version %d\n", s.Version, s.Go, s.Instance, s.SettingsVersion)
		}
		return text
	})
}
