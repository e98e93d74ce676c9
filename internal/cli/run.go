package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mangodrum/mangodrum/errs"
)

// Exit codes.
const (
	ExitSuccess     = 0
	ExitFailure     = 1
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitUnreachable = 4
)

// Addresses of the first instance of `mangodrumd dev`.
const (
	DefaultOperatorAddress = "127.0.0.1:7071"
	DefaultCallerAddress   = "127.0.0.1:7070"
)

// Streams are the standard streams of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app holds the state that the commands of one run share.
type app struct {
	Streams
	pollInterval time.Duration // between two polls of --wait
}

// Run executes the command line and returns the exit code. A panic is printed as
// an error.
func Run(ctx context.Context, args []string, streams Streams) (code int) {
	defer func() {
		if recovered := recover(); recovered != nil {
			printError(streams.Err, errs.New(errs.Failed, "report this bug with the command line", "internal error: %v", recovered))
			code = ExitFailure
		}
	}()
	a := &app{Streams: streams, pollInterval: 200 * time.Millisecond}
	err := a.root().Run(ctx, args)
	if err == nil {
		return ExitSuccess
	}
	printError(streams.Err, err)
	return exitCode(err)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch errs.KindOf(err) {
	case errs.InvalidInput:
		return ExitBadInput
	case errs.Conflict:
		return ExitConflict
	case errs.Unreachable:
		return ExitUnreachable
	}
	return ExitFailure
}

// printError writes the error in one line. For a list of errors, such as the
// problems of an input file, it writes one line each.
func printError(out io.Writer, err error) {
	var list interface{ Unwrap() []error }
	if errors.As(err, &list) && errs.KindOf(err) != "" && isErrorList(err) {
		for _, problem := range list.Unwrap() {
			printError(out, problem)
		}
		return
	}
	line := strings.Join(strings.FieldsFunc(err.Error(), func(r rune) bool { return r == '\n' || r == '\r' }), " ")
	fmt.Fprintln(out, "mangodrum: "+line)
}

// isErrorList reports whether err itself is a list of errors.
func isErrorList(err error) bool {
	_, ok := err.(interface{ Unwrap() []error })
	return ok
}

func (a *app) root() *cli.Command {
	root := &cli.Command{
		Name:  "mangodrum",
		Usage: "operate a mangodrum cell",
		Description: "Exit codes: 0 success, 1 failure, 2 bad usage or input, 3 conflict, 4 unreachable.\n\n" +
			"Examples:\n  mangodrum worker list\n  mangodrum settings apply -f settings.yaml --reason \"more quota for dispatch\" --wait\n" +
			"  mangodrum request send",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Value: DefaultOperatorAddress, Usage: "operators' `ADDRESS` of an instance (IP:port)", Sources: cli.EnvVars("MANGODRUM_SERVER")},
			&cli.StringFlag{Name: "secret-file", Usage: "`FILE` with the operators' shared secret", Sources: cli.EnvVars("MANGODRUM_SECRET_FILE")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT` of the result: table, json or yaml", Validator: checkOutput},
			&cli.DurationFlag{Name: "timeout", Value: 20 * time.Second, Usage: "longest `TIME` of one call"},
		},
		Commands: []*cli.Command{
			a.settingsCommand(), a.jobCommand(), a.workerCommand(), a.instanceCommand(), a.queueCommand(),
			a.requestCommand(), a.checkCommand(), a.versionCommand(),
		},
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(completion *cli.Command) {
			completion.Hidden = false
			completion.Usage = "print the completion script for bash, zsh, fish or pwsh"
		},
		Reader: a.In, Writer: a.Out, ErrWriter: a.Err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // Run prints errors
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes the command and its subcommands return usage errors as
// invalid input, and makes groups of commands reject unknown subcommands.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError(c, "%v", err)
	}
	if len(command.Commands) > 0 && command.Action == nil {
		command.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError(c, "unknown command %q", c.Args().First())
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, child := range command.Commands {
		setUsageErrors(child)
	}
}

func usageError(c *cli.Command, format string, args ...any) error {
	return errs.New(errs.InvalidInput, "see: "+c.FullName()+" --help", format, args...)
}

// noArgs returns a usage error if there are positional arguments.
func noArgs(c *cli.Command) error {
	if c.Args().Present() {
		return usageError(c, "unexpected argument %q", c.Args().First())
	}
	return nil
}

// oneArg returns the positional argument, or a usage error unless there is
// exactly one.
func oneArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return "", usageError(c, "give one %s", what)
	}
	return c.Args().First(), nil
}

// buildVersion returns the version of the program with its Go version, operating
// system and architecture, and with the revision and its time if known.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "devel"
	}
	version := info.Main.Version
	if version == "" || version == "(devel)" {
		version = "devel"
	}
	parts := []string{info.GoVersion, runtime.GOOS + "/" + runtime.GOARCH}
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			parts = append(parts, "revision "+setting.Value)
		case setting.Key == "vcs.time":
			parts = append(parts, "of "+setting.Value)
		case setting.Key == "vcs.modified" && setting.Value == "true":
			parts = append(parts, "modified")
		}
	}
	return version + " (" + strings.Join(parts, ", ") + ")"
}
