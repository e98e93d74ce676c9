package cli

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/config"
	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/httpcall"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/structs"
)

// maxPrintedBody is the largest response body that is read and printed.
const maxPrintedBody = 1 << 20

func (a *app) requestCommand() *cli.Command {
	return &cli.Command{
		Name: "request", Usage: "send requests to services",
		Commands: []*cli.Command{{
			Name: "send", Usage: "send one request and print its status, outcome and body",
			Description: "Without arguments, sends a small request to the service of the running example cell. With a file, the flags\n" +
				"override the file's fields. Exit code 0 means answered with a status below 400.\n\n" +
				"Examples:\n  mangodrum request send\n  mangodrum request send -f examples/bureau/requests/repair-order.yaml\n" +
				"  mangodrum request send --service planner --team /sierra-alta/labels --class labels --body '{}'",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "to", Value: DefaultCallerAddress, Usage: "callers' `ADDRESS` of an instance (IP:port)", Sources: cli.EnvVars("MANGODRUM_TO")},
				&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "request `FILE`, or - for the standard input"},
				&cli.StringFlag{Name: "service", Usage: "`NAME` of the service"},
				&cli.StringFlag{Name: "path", Usage: "`PATH` below the service"},
				&cli.StringFlag{Name: "method", Usage: "HTTP `METHOD`"},
				&cli.StringFlag{Name: "team", Usage: "`PATH` of the team's branch"},
				&cli.StringFlag{Name: "class", Usage: "`NAME` of the class"},
				&cli.StringFlag{Name: "id", Usage: "`ID` of the request; a repeat of a request that must run once uses the same one"},
				&cli.DurationFlag{Name: "deadline", Usage: "`TIME` until the deadline"},
				&cli.BoolFlag{Name: "idempotent", Usage: "whether the request may run more than once"},
				&cli.StringFlag{Name: "body", Usage: "`TEXT` of the body"},
			},
			Action: a.sendRequest,
		}},
	}
}

// sendResult is the output of `request send`.
type sendResult struct {
	ID       string        `json:"id"`
	Status   int           `json:"status"`
	Outcome  string        `json:"outcome"`
	Duration time.Duration `json:"duration_ns"`
	Body     string        `json:"body"`
}

func (a *app) sendRequest(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	if err := checkAddress("--to", c.String("to")); err != nil {
		return err
	}
	request, err := a.buildRequest(ctx, c)
	if err != nil {
		return err
	}
	result, err := send(ctx, c.String("to"), request, c.Duration("timeout"))
	if err != nil {
		return err
	}
	if err := a.printText(c, result, func() string { return sendText(result) }); err != nil {
		return err
	}
	return outcomeError(result)
}

func sendText(r sendResult) string {
	text := fmt.Sprintf("status %d, outcome %s, %s, request %s\n", r.Status, orDash(r.Outcome), formatDuration(r.Duration), r.ID)
	if r.Body == "" {
		return text
	}
	return text + strings.TrimRight(r.Body, "\n") + "\n"
}

// outcomeError returns an error unless the request was answered with a status
// below 400.
func outcomeError(r sendResult) error {
	switch {
	case r.Outcome == "answered" && r.Status < 400:
		return nil
	case r.Outcome == "not-run":
		return errs.New(errs.NotRun, "send it again", "request %s was not run (status %d)", r.ID, r.Status)
	case r.Outcome == "outcome-unknown":
		return errs.New(errs.OutcomeUnknown, "check whether it took effect before you send it again", "request %s may have run", r.ID)
	case r.Outcome == "ran-and-failed":
		return errs.New(errs.Failed, "check the response body and the service", "request %s ran and failed (status %d)", r.ID, r.Status)
	case r.Outcome == "answered":
		return errs.New(errs.Failed, "check the response body", "request %s was answered with status %d", r.ID, r.Status)
	}
	return errs.New(errs.Failed, "check that --to is the callers' address of an instance",
		"request %s was answered with status %d without an outcome", r.ID, r.Status)
}

// buildRequest builds the request from the file, the flags and the defaults.
func (a *app) buildRequest(ctx context.Context, c *cli.Command) (*config.Request, error) {
	request := &config.Request{}
	if file := c.String("file"); file != "" {
		data, err := a.readInput(file)
		if err != nil {
			return nil, err
		}
		if request, err = config.DecodeRequest(file, data); err != nil {
			return nil, err
		}
	}
	overrideRequest(request, c)
	a.setDefaults(ctx, c, request)
	return request, request.Check()
}

func overrideRequest(request *config.Request, c *cli.Command) {
	set := func(target *string, flag string) {
		if c.IsSet(flag) {
			*target = c.String(flag)
		}
	}
	set(&request.Service, "service")
	set(&request.Path, "path")
	set(&request.Method, "method")
	set((*string)(&request.Team), "team")
	set((*string)(&request.Class), "class")
	set(&request.ID, "id")
	set(&request.Body, "body")
	if c.IsSet("deadline") {
		request.Deadline = config.Duration(c.Duration("deadline"))
	}
	if c.IsSet("idempotent") {
		value := c.Bool("idempotent")
		request.Idempotent = &value
	}
}

// defaultTargets are the services and teams of the example cells, in the order
// of preference.
var defaultTargets = []struct {
	service string
	team    structs.TeamID
}{{"dispatch", "/bureau/dispatch"}, {"planner", "/sierra-alta/sanitation"}}

// setDefaults fills in the service and the team of the example cell that is
// running, and the class from the team's settings. If the settings cannot be
// read, it uses the first example and leaves the class to the instance.
func (a *app) setDefaults(ctx context.Context, c *cli.Command, request *config.Request) {
	target := defaultTargets[0]
	var class structs.ClassName
	for _, candidate := range defaultTargets {
		team := candidate.team
		if request.Team != "" {
			team = request.Team
		}
		found, err := a.teamClass(ctx, c, team)
		if err == nil {
			target, class = candidate, found
			break
		}
		if !errs.Is(err, errs.NotFound) {
			fmt.Fprintf(a.Err, "the class is left to the instance: %v\n", err)
			break
		}
	}
	if request.Team == "" {
		request.Team = target.team
	}
	if request.Service == "" {
		request.Service = target.service
	}
	if request.Class == "" {
		request.Class = class
	}
	if request.ID == "" {
		request.ID = newID()
	}
}

// teamClass returns the class in the team's effective settings.
func (a *app) teamClass(ctx context.Context, c *cli.Command, team structs.TeamID) (structs.ClassName, error) {
	reply, err := a.fetchSettings(ctx, c, operatorapi.SettingsQuery{Path: team})
	if err != nil {
		return "", err
	}
	for _, field := range reply.Fields {
		if field.Field == "class" {
			return structs.ClassName(field.Value), nil
		}
	}
	return "", nil
}

// send sends the request once, without retries.
func send(ctx context.Context, address string, r *config.Request, timeout time.Duration) (sendResult, error) {
	client := httpcall.NewClient(maxPrintedBody)
	defer client.CloseIdleConnections()
	start := time.Now()
	response, err := httpcall.Do(ctx, client, timeout, func(request *fasthttp.Request) { setHTTPRequest(request, address, r) })
	if httpcall.NotSent(err) {
		return sendResult{}, errs.Wrap(err, errs.Unreachable, "start the daemon or name another instance with --to", "connect to %s", address)
	}
	if err != nil {
		return sendResult{}, errs.Wrap(err, errs.OutcomeUnknown, "check whether it took effect before you send it again", "request %s may have run", r.ID)
	}
	return sendResult{
		ID: r.ID, Status: response.Status, Outcome: response.Header("Mangodrum-Outcome"),
		Duration: time.Since(start), Body: string(response.Body),
	}, nil
}

func setHTTPRequest(request *fasthttp.Request, address string, r *config.Request) {
	request.SetRequestURI("http://" + address + "/v1/services/" + url.PathEscape(r.Service) + r.Path)
	request.Header.SetMethod(r.Method)
	for name, value := range r.Headers {
		request.Header.Set(name, value)
	}
	request.Header.Set("Mangodrum-Request-Id", r.ID)
	request.Header.Set("Mangodrum-Team", string(r.Team))
	if r.Class != "" {
		request.Header.Set("Mangodrum-Class", string(r.Class))
	}
	if r.Deadline > 0 {
		request.Header.Set("Mangodrum-Deadline-Ms", strconv.FormatInt(time.Duration(r.Deadline).Milliseconds(), 10))
	}
	if r.Idempotent != nil {
		request.Header.Set("Mangodrum-Idempotent", strconv.FormatBool(*r.Idempotent))
	}
	request.SetBodyString(r.Body)
}
