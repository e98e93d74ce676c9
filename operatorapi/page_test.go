package operatorapi

import (
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

// Guards against a page that loads external resources, inserts text as HTML,
// requires the secret for its static files or shows data without the secret.
func TestPageIsSelfContained(t *testing.T) {
	address := startServer(t, &stubBackend{}, Options{Secret: "s3"})
	for path, kind := range map[string]string{"/": "text/html", "/status.css": "text/css", "/status.js": "text/javascript"} {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + address + path)
		if err := fasthttp.Do(request, response); err != nil || response.StatusCode() != 200 {
			t.Fatalf("%s: status %d, %v", path, response.StatusCode(), err)
		}
		if !strings.HasPrefix(string(response.Header.ContentType()), kind) ||
			!strings.Contains(string(response.Header.Peek("Content-Security-Policy")), "default-src 'none'") {
			t.Errorf("%s: headers %s", path, response.Header.String())
		}
		for _, forbidden := range []string{"://", "innerHTML", "insertAdjacent", "document.write", "eval(", "onclick", "<style", "<script>"} {
			if strings.Contains(string(response.Body()), forbidden) {
				t.Errorf("%s contains %q", path, forbidden)
			}
		}
	}
}

// Guards against a script that uses endpoints, response fields or page elements
// that do not exist.
func TestPageMatchesTheAPI(t *testing.T) {
	routes := map[string]bool{}
	for _, route := range NewServer(&stubBackend{}, Options{}).GetRoutes(true) {
		if route.Method == fiber.MethodGet {
			routes[route.Path] = true
		}
	}
	for _, match := range regexp.MustCompile(`"(/v1/[a-z/]+)"`).FindAllStringSubmatch(pageScript, -1) {
		if !routes[match[1]] {
			t.Errorf("endpoint %s does not exist", match[1])
		}
	}
	fields := map[string]bool{}
	for _, value := range []any{VersionInfo{}, SettingsStatus{}, InstanceList{}, WorkerList{}, QueueList{}} {
		jsonNames(reflect.TypeOf(value), fields)
	}
	for _, match := range regexp.MustCompile(`\b(?:i|c|q|w|r|list|status|version|store|info|location|worker|queues)\.([a-z][a-z0-9_]*)\b[^(]`).FindAllStringSubmatch(pageScript, -1) {
		if name := match[1]; !fields[name] && !map[string]bool{"length": true}[name] {
			t.Errorf("field %q does not exist in the API", name)
		}
	}
	for _, match := range regexp.MustCompile(`(?:byId|fillTable)\("([a-z]+)"`).FindAllStringSubmatch(pageScript, -1) {
		if !strings.Contains(pageHTML, `id="`+match[1]+`"`) {
			t.Errorf("the page has no element %q", match[1])
		}
	}
}

func jsonNames(t reflect.Type, names map[string]bool) {
	switch t.Kind() {
	case reflect.Slice, reflect.Pointer:
		jsonNames(t.Elem(), names)
	case reflect.Struct:
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			names[name] = true
			jsonNames(t.Field(i).Type, names)
		}
	}
}
