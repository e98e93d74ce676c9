package operatorapi

import (
	_ "embed"

	"github.com/gofiber/fiber/v3"
)

// The status page is three static files without data; its script polls the
// JSON endpoints and asks for the secret when it is required.
var (
	//go:embed page/index.html
	pageHTML string
	//go:embed page/status.css
	pageStyle string
	//go:embed page/status.js
	pageScript string
)

// pagePolicy allows the page nothing but its own files and endpoints.
const pagePolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; " +
	"form-action 'none'; base-uri 'none'; frame-ancestors 'none'"

// servePage registers the status page.
func servePage(app *fiber.App) {
	static := func(kind, content string) fiber.Handler {
		return func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, kind+"; charset=utf-8")
			c.Set(fiber.HeaderContentSecurityPolicy, pagePolicy)
			c.Set(fiber.HeaderXContentTypeOptions, "nosniff")
			c.Set(fiber.HeaderCacheControl, "no-cache")
			return c.SendString(content)
		}
	}
	app.Get("/", static("text/html", pageHTML))
	app.Get("/status.css", static("text/css", pageStyle))
	app.Get("/status.js", static("text/javascript", pageScript))
}
