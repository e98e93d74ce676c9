package operatorapi

import (
	_ "embed"

	"github.com/gofiber/fiber/v3"
)

// The status page consists of three static files. Its script polls the JSON
// endpoints and asks for the secret if the instance requires one.
var (
	//go:embed page/index.html
	pageHTML string
	//go:embed page/status.css
	pageStyle string
	//go:embed page/status.js
	pageScript string
)

// contentSecurityPolicy allows the page to load only its own files and to call
// only the endpoints of its own origin.
const contentSecurityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; " +
	"form-action 'none'; base-uri 'none'; frame-ancestors 'none'"

// registerPage registers the routes of the status page. They need no secret,
// because the files contain no data.
func registerPage(app *fiber.App) {
	staticFile := func(contentType, content string) fiber.Handler {
		return func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, contentType+"; charset=utf-8")
			c.Set(fiber.HeaderContentSecurityPolicy, contentSecurityPolicy)
			c.Set(fiber.HeaderXContentTypeOptions, "nosniff")
			c.Set(fiber.HeaderCacheControl, "no-cache")
			return c.SendString(content)
		}
	}
	app.Get("/", staticFile("text/html", pageHTML))
	app.Get("/status.css", staticFile("text/css", pageStyle))
	app.Get("/status.js", staticFile("text/javascript", pageScript))
}
