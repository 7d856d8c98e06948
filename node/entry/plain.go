package entry

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

const (
	servicesPrefix      = "/services/"
	productHeaderPrefix = "Jacinthnotch-"
)

// plain forwards a request below /services/{service}/ unchanged, except for
// hop-by-hop headers and the bearer key, which authenticates the caller to this
// listener only.
func (s *Server) plain(c fiber.Ctx, r web.Request) error {
	name, rest := splitService(string(c.Request().URI().PathOriginal()))
	service, ok := r.View.Services[name]
	if !ok || service.Kind != api.ServicePlain || !web.Allowed(service.Workspaces, r.Workspace) {
		return &api.Refusal{Code: api.CodeServiceNotFound, Status: http.StatusNotFound, Param: "service",
			Message: "the service does not exist or is not open to this workspace", Outcome: api.NotRun}
	}
	cl, body, err := s.newCall(c, r)
	if err != nil {
		return err
	}
	method := c.Method()
	cl.nonIdempotent = cl.nonIdempotent || !service.Idempotent && !isIdempotentMethod(method) || isNonIdempotentPath(&service, rest)
	query := string(c.Request().URI().QueryString())
	// A raw path cannot contain "?", so that the boundary between path and query
	// is unambiguous in the fingerprint.
	cl.fingerprint = ident.Fingerprint(method, servicesPrefix+name+rest+"?"+query, body)
	req := &api.PlainRequest{ID: r.ID, Workspace: r.Workspace, Service: name, Method: method, Path: rest, RawQuery: query,
		Headers: requestHeaders(c, r.Authenticated), Body: body, Idempotent: !cl.nonIdempotent,
		Deadline: cl.deadline, Fingerprint: cl.fingerprint}
	cl.run = func(ctx context.Context, _ api.Sink) (*api.Answer, error) {
		answer, err := s.opts.Plain.Do(ctx, req)
		if method == http.MethodHead && err == nil && answer != nil {
			copyContentLength(c, answer.Headers)
		}
		return filterAnswerHeaders(answer, err)
	}
	return s.serveNonStreaming(c, cl)
}

// splitService splits /services/{service}/rest into the name and /rest.
func splitService(rawPath string) (name, rest string) {
	rawPath = strings.TrimPrefix(rawPath, servicesPrefix)
	i := strings.IndexByte(rawPath, '/')
	if i < 0 {
		return rawPath, "/"
	}
	return rawPath[:i], rawPath[i:]
}

// isNonIdempotentPath reports whether the service runs requests for a path at most
// once. It checks the path as a server may interpret it: decoded, and also with
// empty, "." and ".." segments resolved. If the service has such a rule, a path
// that cannot be decoded matches.
func isNonIdempotentPath(service *api.Service, encoded string) bool {
	if service.IsNonIdempotent == nil {
		return false
	}
	decoded, err := url.PathUnescape(encoded)
	return err != nil || service.IsNonIdempotent(path.Clean("/"+decoded)) || service.IsNonIdempotent(decoded)
}

func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// requestHeaders returns the end-to-end headers of a request, without the bearer
// key if dropKey is true. The client of the backend server sets Content-Length,
// and this listener has already handled Expect.
func requestHeaders(c fiber.Ctx, dropKey bool) []api.Header {
	var all []api.Header
	for name, value := range c.Request().Header.All() {
		n := string(name)
		if dropKey && strings.EqualFold(n, fiber.HeaderAuthorization) || strings.EqualFold(n, fiber.HeaderExpect) {
			continue
		}
		all = append(all, api.Header{Name: n, Value: string(value)})
	}
	return endToEndHeaders(all)
}

// copyContentLength copies the Content-Length of the answer to a HEAD request,
// which is the length of the body that GET would return.
func copyContentLength(c fiber.Ctx, headers []api.Header) {
	for _, h := range headers {
		if n, err := strconv.Atoi(h.Value); err == nil && strings.EqualFold(h.Name, fiber.HeaderContentLength) {
			c.Response().SkipBody = true
			c.Response().Header.SetContentLength(n)
		}
	}
}

// filterAnswerHeaders returns an answer with its end-to-end headers only.
func filterAnswerHeaders(a *api.Answer, err error) (*api.Answer, error) {
	if err != nil || a == nil {
		return nil, err
	}
	out := *a
	out.Headers = endToEndHeaders(a.Headers)
	return &out, nil
}

// hopByHop are the hop-by-hop headers of RFC 9110, section 7.6.1, and of common
// practice. Content-Length is included because it is set from the body.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true,
}

// endToEndHeaders returns the headers without hop-by-hop headers, headers that
// Connection lists, and headers of this product.
func endToEndHeaders(headers []api.Header) []api.Header {
	listed := make(map[string]bool)
	for _, h := range headers {
		if strings.EqualFold(h.Name, fiber.HeaderConnection) {
			for token := range strings.SplitSeq(h.Value, ",") {
				listed[strings.ToLower(strings.TrimSpace(token))] = true
			}
		}
	}
	out := make([]api.Header, 0, len(headers))
	for _, h := range headers {
		name := strings.ToLower(h.Name)
		if !hopByHop[name] && !listed[name] && !strings.HasPrefix(name, strings.ToLower(productHeaderPrefix)) {
			out = append(out, h)
		}
	}
	return out
}
