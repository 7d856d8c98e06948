// Package batchapi implements the file and batch endpoints of the OpenAI API.
//
// An uploaded file is validated line by line and buffered, compressed, in memory.
// Nothing is recorded before all lines have been validated.
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

// checkCoreDivisor limits the number of lines that are validated at the same time to
// GOMAXPROCS divided by it. A line takes about 20 us, so without a limit an upload of
// 620,000 lines would take a core from online requests for more than ten seconds.
const checkCoreDivisor = 4

// Limits are the limits of callers' requests. They have the units of the settings
// file.
type Limits struct {
	BodyBytes int64
	FileBytes int64
	FileLines int
	LineBytes int
	// UploadMemoryBytes limits the memory of all uploads in progress, whose content
	// is compressed.
	UploadMemoryBytes int64
	ReadTimeout       time.Duration
	// MinReadRate is in bytes per second.
	MinReadRate int64
	// RequestTimeout limits the time to handle a request after its body has been
	// read. It does not apply to sending the content of a file.
	RequestTimeout time.Duration
}

// LimitsFromSettings returns the limits that a settings file sets.
func LimitsFromSettings(s *settings.Settings) Limits {
	l := s.Limits
	return Limits{
		BodyBytes:         l.BodyBytes,
		FileBytes:         l.FileBytes,
		FileLines:         int(l.FileLines),
		LineBytes:         int(l.LineBytes),
		UploadMemoryBytes: l.UploadMemory,
		ReadTimeout:       l.ReadTimeout.Std(),
		MinReadRate:       l.MinReadRate,
		RequestTimeout:    l.RequestTimeout.Std(),
	}
}

// Options configures an API.
type Options struct {
	Jobs   api.Jobs
	Limits Limits
	// Partitions is the number of partitions of the fleet.
	Partitions int
}

// API implements the endpoints.
type API struct {
	opts         Options
	uploadMemory memoryBudget
	// checkSlots limits the number of lines that are validated at the same time.
	checkSlots chan struct{}
	// baseCtx is the parent of the contexts of all requests; Close cancels it.
	baseCtx context.Context
	cancel  context.CancelFunc
	// senders counts the goroutines that send content.
	senders conc.WaitGroup
}

// New returns an API. Close must be called after its last request.
func New(opts Options) *API {
	a := &API{opts: opts, uploadMemory: memoryBudget{limit: opts.Limits.UploadMemoryBytes},
		checkSlots: make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/checkCoreDivisor))}
	a.baseCtx, a.cancel = context.WithCancel(context.Background())
	return a
}

// Register adds the routes to the router of the callers' listener.
func (a *API) Register(router fiber.Router, middleware *web.Middleware) {
	router.Post("/v1/files", middleware.Wrap(a.upload))
	router.Get("/v1/files", middleware.Wrap(a.files))
	router.Get("/v1/files/:id", middleware.Wrap(a.file))
	router.Get("/v1/files/:id/content", middleware.Wrap(a.fileContent))
	router.Post("/v1/batches", middleware.Wrap(a.createBatch))
	router.Get("/v1/batches", middleware.Wrap(a.batches))
	router.Get("/v1/batches/:id", middleware.Wrap(a.batch))
	router.Post("/v1/batches/:id/cancel", middleware.Wrap(a.cancelBatch))
}

// Close cancels the requests that are still in progress and waits until no content
// is being sent. It must be called after the listener has been shut down.
func (a *API) Close() {
	a.cancel()
	a.senders.Wait()
}

func (a *API) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.baseCtx, a.opts.Limits.RequestTimeout)
}
