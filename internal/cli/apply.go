package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
)

// changeFlags returns the flags of commands that create a settings version.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "why the settings change; `TEXT` kept in the history"},
		&cli.StringFlag{Name: "author", Usage: "who makes the change; default: the user of this process", Sources: cli.EnvVars("MANGODRUM_AUTHOR")},
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change; use the same one to repeat a change whose outcome is unknown"},
		&cli.Uint64Flag{Name: "base", Usage: "version `NUMBER` that the change is based on"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force at every instance"},
		&cli.DurationFlag{Name: "wait-timeout", Value: 30 * time.Second, Usage: "longest `TIME` of --wait"},
	}
}

func (a *app) applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "make a settings file the next version",
		Description: "The base of the change is --base, or the version in the file's first line as `settings get` writes it, or the\n" +
			"version in force. If the settings changed since the base, the command ends with exit code 3 and names what changed.\n\n" +
			"Example:\n  mangodrum settings apply -f settings.yaml --reason \"more quota for dispatch\" --wait",
		Flags: append(changeFlags(),
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "settings `FILE`, or - for the standard input"},
			&cli.BoolFlag{Name: "dry-run", Usage: "only show what would change"}),
		Action: a.applySettings,
	}
}

func (a *app) rollbackCommand() *cli.Command {
	return &cli.Command{
		Name: "rollback", Usage: "make the content of an earlier version the next version", ArgsUsage: "VERSION",
		Description: "Example:\n  mangodrum settings rollback 11 --reason \"undo version 12\" --wait",
		Flags:       changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			text, err := oneArg(c, "version number")
			if err != nil {
				return err
			}
			number, err := versionArg(c, text)
			if err != nil {
				return err
			}
			return a.commit(ctx, c, operatorapi.ApplyRequest{RollbackTo: number})
		},
	}
}

func (a *app) applySettings(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	data, err := a.readSettings(c.String("file"))
	if err != nil {
		return err
	}
	return a.commit(ctx, c, operatorapi.ApplyRequest{YAML: string(data), BaseVersion: baseVersion(data), DryRun: c.Bool("dry-run")})
}

// commit fills in the request's base, author, reason and change identifier,
// sends it and prints the result.
func (a *app) commit(ctx context.Context, c *cli.Command, request operatorapi.ApplyRequest) error {
	if c.IsSet("base") {
		request.BaseVersion = c.Uint64("base")
	}
	if err := a.setBase(ctx, c, &request); err != nil {
		return err
	}
	if err := setChangeInfo(c, &request); err != nil {
		return err
	}
	reply, err := call(ctx, a, c, func(ctx context.Context, client *operatorapi.Client) (operatorapi.ApplyResponse, error) {
		return client.ApplySettings(ctx, request)
	})
	if errs.Is(err, errs.OutcomeUnknown) {
		return errs.Wrap(err, errs.OutcomeUnknown, fmt.Sprintf("repeat the command with --change-id %s --base %d", request.ChangeID, request.BaseVersion),
			"the outcome of change %s is not known", request.ChangeID)
	}
	if err != nil {
		return err
	}
	if err := a.printText(c, reply, func() string { return applyText(reply, request) }); err != nil {
		return err
	}
	if !c.Bool("wait") || reply.DryRun {
		return nil
	}
	return a.waitInForce(ctx, c, reply.Version.Number)
}

// setBase sets the base to the version in force unless the command line or the
// file gives one.
func (a *app) setBase(ctx context.Context, c *cli.Command, request *operatorapi.ApplyRequest) error {
	if request.BaseVersion != 0 || c.IsSet("base") {
		return nil
	}
	status, err := a.fetchStatus(ctx, c)
	if err != nil {
		return err
	}
	request.BaseVersion = status.LatestKnownVersion
	if !request.DryRun {
		fmt.Fprintf(a.Err, "no base given: using version %d\n", request.BaseVersion)
	}
	return nil
}

// setChangeInfo sets the reason, the author and the change identifier, which a dry
// run does not need.
func setChangeInfo(c *cli.Command, request *operatorapi.ApplyRequest) error {
	if request.DryRun {
		return nil
	}
	request.Reason = c.String("reason")
	if strings.TrimSpace(request.Reason) == "" {
		return errs.New(errs.InvalidInput, "add --reason TEXT; it is kept in the history", "no reason is given")
	}
	if request.Author = c.String("author"); request.Author == "" {
		request.Author = os.Getenv("USER")
	}
	if request.Author == "" {
		return errs.New(errs.InvalidInput, "add --author NAME", "no author is given and the environment variable USER is empty")
	}
	if request.ChangeID = c.String("change-id"); request.ChangeID == "" {
		request.ChangeID = newID()
	}
	return nil
}

// newID returns a random identifier of 16 hexadecimal digits.
func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(random[:])
}

func applyText(reply operatorapi.ApplyResponse, request operatorapi.ApplyRequest) string {
	text := impactText(reply.Impact)
	switch {
	case reply.DryRun:
		return text + "\ndry run: nothing was applied\n"
	case reply.Version.ChangeID != request.ChangeID:
		return fmt.Sprintf("no changes: version %d is in force\n", reply.Version.Number)
	}
	return text + fmt.Sprintf("\nversion %d accepted\n", reply.Version.Number)
}

// waitInForce polls until the version is in force at every instance that is
// not dead, or --wait-timeout is over. It prints progress to standard error.
func (a *app) waitInForce(ctx context.Context, c *cli.Command, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait-timeout"))
	defer cancel()
	var lastErr error
	lagging := []string{"all instances"}
	lastProgress := ""
	for {
		status, err := a.fetchStatus(ctx, c)
		if err == nil {
			lagging = laggingInstances(status, number)
			if len(lagging) == 0 {
				fmt.Fprintf(a.Err, "version %d is in force at all %d instances\n", number, len(status.Instances))
				return nil
			}
			progress := fmt.Sprintf("version %d: waiting for %s", number, strings.Join(lagging, ", "))
			if progress != lastProgress {
				fmt.Fprintln(a.Err, progress)
				lastProgress = progress
			}
		}
		lastErr = err
		timer := time.NewTimer(a.pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return waitError(number, lagging, lastErr)
		case <-timer.C:
		}
	}
}

func waitError(number uint64, lagging []string, lastErr error) error {
	const remedy = "the version stays accepted; see: mangodrum settings status"
	if lastErr != nil && errs.Is(lastErr, errs.Unreachable) {
		return errs.Wrap(lastErr, errs.Unreachable, remedy, "wait for version %d", number)
	}
	return errs.New(errs.Failed, remedy, "version %d is not yet in force at: %s", number, strings.Join(lagging, ", "))
}

// laggingInstances lists the instances where the version is not yet in force. Dead
// instances are left out: they serve nothing, and they get the version before
// they become ready again.
func laggingInstances(status operatorapi.SettingsStatus, number uint64) []string {
	var names []string
	for _, i := range status.Instances {
		if i.Version < number && i.Health != operatorapi.InstanceDead {
			names = append(names, fmt.Sprintf("%s (version %d, %s)", i.Instance, i.Version, i.Health))
		}
	}
	if len(status.Instances) == 0 {
		names = append(names, "any instance to report")
	}
	return names
}
