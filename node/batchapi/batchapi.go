// Package batchapi serves files and batches to callers, in the form of the
// OpenAI API.
//
// A file is checked line by line and kept compressed in memory until its last
// line has passed; only then is anything recorded.
package batchapi

import (
	"context"
	"expvar"
	"runtime"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/settings"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

var (
	uploadsRefused  = expvar.NewInt("batchapi_uploads_refused_memory")
	contentFailures = expvar.NewInt("batchapi_content_failures")
)

// uploadShare is the divisor of the cores that checks of uploads may use at the
// same time. A line takes about 20 us, so that an upload of 620,000 lines would
// otherwise hold a core for more than ten seconds beside the online requests.
const uploadShare = 4

// Limits bound the requests of callers. The units are those of the settings
// file.
type Limits struct {
	BodyBytes int64
	FileBytes int64
	FileLines int
	LineBytes int
	// UploadMemory bounds the compressed content of all uploads in progress.
	UploadMemory int64
	ReadTimeout  time.Duration
	MinReadRate  int64
	// Request bounds the work for one request after its body was read, other
	// than sending the content of a file.
	Request time.Duration
}

// LimitsOf returns the limits of a settings file.
func LimitsOf(s *settings.Settings) Limits {
	l := s.Limits
	return Limits{
		BodyBytes:    l.BodyBytes,
		FileBytes:    l.FileBytes,
		FileLines:    int(l.FileLines),
		LineBytes:    int(l.LineBytes),
		UploadMemory: l.UploadMemory,
		ReadTimeout:  l.ReadTimeout.Std(),
		MinReadRate:  l.MinReadRate,
		Request:      l.RequestTimeout.Std(),
	}
}

// Options are the parts of an instance that the handlers use.
type Options struct {
	Jobs   api.Jobs
	Limits Limits
	// Partitions is the number of partitions of the fleet.
	Partitions int
}

// API holds the handlers.
type API struct {
	opts   Options
	memory budget
	slots  chan struct{}
	base   context.Context
	cancel context.CancelFunc
	work   conc.WaitGroup
}

// New returns the handlers.
func New(opts Options) *API {
	a := &API{opts: opts, memory: budget{limit: opts.Limits.UploadMemory},
		slots: make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/uploadShare))}
	a.base, a.cancel = context.WithCancel(context.Background())
	return a
}

// Register adds the routes to the callers' listener.
func (a *API) Register(router fiber.Router, gate *web.Middleware) {
	router.Post("/v1/files", gate.Wrap(a.upload))
	router.Get("/v1/files", gate.Wrap(a.files))
	router.Get("/v1/files/:id", gate.Wrap(a.file))
	router.Get("/v1/files/:id/content", gate.Wrap(a.content))
	router.Post("/v1/batches", gate.Wrap(a.create))
	router.Get("/v1/batches", gate.Wrap(a.batches))
	router.Get("/v1/batches/:id", gate.Wrap(a.batch))
	router.Post("/v1/batches/:id/cancel", gate.Wrap(a.cancelBatch))
}

// Close cancels the requests that are still in progress and waits for them. It
// is called after the listener was shut down.
func (a *API) Close() {
	a.cancel()
	a.work.Wait()
}

func (a *API) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.base, a.opts.Limits.Request)
}
