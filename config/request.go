package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// Duration is a length of time with a unit.
type Duration = settings.Duration

// Request is a request to a service, for `mangodrum request send`.
type Request struct {
	strictyaml.Header
	Service    string            `yaml:"service" required:"true" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Name of the service."`
	Path       string            `yaml:"path" doc:"Path below the service, with an optional query. Default: /."`
	Method     string            `yaml:"method" oneof:"GET HEAD POST PUT PATCH DELETE" doc:"HTTP method. Default: POST with a body, GET without."`
	ID         string            `yaml:"id" pattern:"^[A-Za-z0-9._-]{1,100}$" doc:"Identifier of the request. Default: a new one."`
	Team       structs.TeamID    `yaml:"team" required:"true" pattern:"^/$|^(/[a-z0-9][a-z0-9-]{0,39}){1,8}$" doc:"Path of the team's branch in the settings."`
	Class      structs.ClassName `yaml:"class" pattern:"^[a-z][a-z0-9-]{0,39}$" doc:"Class of the request. Default: the class that the team's settings name."`
	Deadline   settings.Duration `yaml:"deadline" min:"1ms" max:"168h" doc:"Time until the deadline. Default: from the settings."`
	Idempotent *bool             `yaml:"idempotent" doc:"Whether the request may run more than once. Default: true for GET, HEAD, PUT and DELETE."`
	Headers    map[string]string `yaml:"headers" doc:"Further HTTP headers."`
	Body       string            `yaml:"body" doc:"Body of the request."`
}

// DecodeRequest reads a request file and fills in the method and path.
func DecodeRequest(file string, data []byte) (*Request, error) {
	request := &Request{}
	report, err := decodeOne(file, data, KindRequest, request)
	if err != nil {
		return nil, err
	}
	request.check(report)
	return request, report.Err()
}

// Check checks a request that was not decoded from a file and fills in the
// method and path.
func (r *Request) Check() error {
	report := strictyaml.NewReport("request")
	for _, problem := range strictyaml.Validate(r) {
		if !strings.HasPrefix(problem.Field, "apiVersion") && problem.Field != "kind" {
			report.Problems = append(report.Problems, problem)
		}
	}
	r.check(report)
	return report.Err()
}

// check reports invalid headers and paths and fills in the method and path.
func (r *Request) check(report *strictyaml.Report) {
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
		r.checkHeader(report, name, r.Headers[name])
	}
	if r.Path != "" && !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " \r\n") {
		report.Add("path", "start the path with / and escape white space", "%q is not a valid path", r.Path)
	}
	setDefault(&r.Path, "/")
	if r.Body != "" {
		setDefault(&r.Method, "POST")
	}
	setDefault(&r.Method, "GET")
}

func (r *Request) checkHeader(report *strictyaml.Report, name, value string) {
	field := "headers." + name
	if strings.ContainsAny(name, " \r\n:") || strings.ContainsAny(value, "\r\n") {
		report.Add(field, "remove white space, colons and line ends", "is not a valid HTTP header")
	}
	if strings.HasPrefix(strings.ToLower(name), "mangodrum-") {
		report.Add(field, "use the fields id, team, class, deadline and idempotent", "is reserved")
	}
}
