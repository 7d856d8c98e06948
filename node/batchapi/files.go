package batchapi

import (
	"context"
	"io"
	"mime"
	"mime/multipart"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

const (
	purposeBatch = "batch"
	// formOverhead is the size of a form, in bytes, that is allowed in addition to
	// the file in it.
	formOverhead = 64 << 10
	// maxFieldBytes limits the value of a form field other than the file.
	maxFieldBytes    = 256
	maxFileNameBytes = 255

	defaultFileLimit, maxFileLimit = 100, 1000
)

// fileObject is the file object of the OpenAI API.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
	// Lines is an extension of the OpenAI API.
	Lines int `json:"lines,omitempty"`
}

func newFileObject(f api.File) fileObject {
	return fileObject{ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: f.CreatedAt.Unix(), Filename: f.Name,
		Purpose: f.Purpose, Status: "processed", Lines: f.Lines}
}

// list is the list object of the OpenAI API.
type list[T any] struct {
	Object  string  `json:"object"`
	Data    []T     `json:"data"`
	FirstID *string `json:"first_id"`
	LastID  *string `json:"last_id"`
	HasMore bool    `json:"has_more"`
}

func newList[T any](data []T, id func(*T) *string, hasMore bool) list[T] {
	l := list[T]{Object: "list", Data: data, HasMore: hasMore}
	if len(data) > 0 {
		l.FirstID, l.LastID = id(&data[0]), id(&data[len(data)-1])
	} else {
		l.Data = []T{}
	}
	return l
}

// upload serves POST /v1/files.
func (a *API) upload(c fiber.Ctx, r web.Request) error {
	limits := a.fileLimits(r.View)
	body, err := web.OpenBody(c, web.BodyLimits{Bytes: limits.Bytes + formOverhead, Timeout: a.opts.Limits.ReadTimeout,
		MinRate: a.opts.Limits.MinReadRate})
	if err != nil {
		return err
	}
	sp, err := newSpool(&a.uploadMemory)
	if err != nil {
		return err
	}
	defer sp.release()
	form, err := readForm(body, c.Get(fiber.HeaderContentType), limits, sp)
	if err != nil {
		return err
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	file := api.File{ID: ident.FileID(r.Workspace, purposeBatch, form.summary.Digest, a.opts.Partitions), Workspace: r.Workspace,
		Name: form.name, Purpose: purposeBatch, Lines: form.summary.Lines, Bytes: form.summary.Bytes, Digest: form.summary.Digest}
	var decodeErr error
	stored, err := a.opts.Jobs.PutFile(ctx, file, sp.lines(&decodeErr))
	if decodeErr != nil {
		return decodeErr
	}
	if err != nil {
		return err
	}
	return c.JSON(newFileObject(stored))
}

// form is a validated upload. Its lines are in a spool.
type form struct {
	name    string
	summary fileSummary
}

// readForm reads a form with the fields purpose and file, in any order, and adds the
// lines of the file to sp.
func readForm(body io.Reader, contentType string, limits checkLimits, sp *spool) (form, error) {
	var f form
	media, params, err := mime.ParseMediaType(contentType)
	if err != nil || media != fiber.MIMEMultipartForm || params["boundary"] == "" {
		return f, api.Invalid(fiber.HeaderContentType, "the request is not a multipart/form-data form")
	}
	reader := multipart.NewReader(body, params["boundary"])
	seen := make(map[string]bool)
	for {
		part, err := reader.NextRawPart()
		if err == io.EOF {
			break
		}
		if err != nil {
			return f, web.BodyError(err)
		}
		name := part.FormName()
		if seen[name] {
			return f, api.Invalid(name, "the field stands in the form twice")
		}
		seen[name] = true
		switch name {
		case "purpose":
			err = readPurpose(part)
		case "file":
			err = f.readFile(part, limits, sp)
		default:
			err = api.Invalid(name, "the field is not known")
		}
		if err != nil {
			return f, web.BodyError(err)
		}
	}
	for _, name := range []string{"purpose", "file"} {
		if !seen[name] {
			return f, api.Invalid(name, "the field is missing")
		}
	}
	// Read what follows the last boundary, because the connection can be reused only
	// if the body has been read to its end.
	_, err = io.Copy(io.Discard, body)
	return f, web.BodyError(err)
}

func readPurpose(part io.Reader) error {
	value, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
	if err != nil {
		return err
	}
	if string(value) != purposeBatch {
		return api.Invalid("purpose", "%q is not \"batch\"", value)
	}
	return nil
}

func (f *form) readFile(part *multipart.Part, limits checkLimits, sp *spool) error {
	f.name = part.FileName()
	if len(f.name) > maxFileNameBytes {
		return api.Invalid("file", "the file name is longer than %d bytes", maxFileNameBytes)
	}
	var err error
	if f.summary, err = checkLines(part, limits, sp.add); err != nil {
		return err
	}
	return sp.flush()
}

// files serves GET /v1/files.
func (a *API) files(c fiber.Ctx, r web.Request) error {
	limit, err := queryLimit(c, defaultFileLimit, maxFileLimit)
	if err != nil {
		return err
	}
	if p := c.Query("purpose"); p != "" && p != purposeBatch {
		return c.JSON(newList[fileObject](nil, nil, false))
	}
	ctx, cancel := a.requestContext()
	defer cancel()
	page, err := a.opts.Jobs.Files(ctx, r.Workspace, c.Query("after"), limit)
	if err != nil {
		return err
	}
	data := make([]fileObject, len(page.Files))
	for i, f := range page.Files {
		data[i] = newFileObject(f)
	}
	return c.JSON(newList(data, func(f *fileObject) *string { return &f.ID }, page.More))
}

// file serves GET /v1/files/{id}.
func (a *API) file(c fiber.Ctx, r web.Request) error {
	ctx, cancel := a.requestContext()
	defer cancel()
	id := strings.Clone(c.Params("id"))
	if file, ok := parseResultFile(id); ok {
		f, err := a.resultFileInfo(ctx, r.Workspace, id, file)
		if err != nil {
			return err
		}
		return c.JSON(f)
	}
	f, err := a.fileInfo(ctx, r.Workspace, id)
	if err != nil {
		return err
	}
	return c.JSON(newFileObject(f))
}

func (a *API) fileInfo(ctx context.Context, workspace, id string) (api.File, error) {
	if _, err := ident.FilePartition(id); err != nil {
		return api.File{}, api.NotFound("file_id", "no such file")
	}
	return a.opts.Jobs.FileInfo(ctx, workspace, id)
}

// fileContent serves GET /v1/files/{id}/content.
func (a *API) fileContent(c fiber.Ctx, r web.Request) error {
	ctx, cancel := a.requestContext()
	defer cancel()
	id := strings.Clone(c.Params("id"))
	if file, ok := parseResultFile(id); ok {
		if _, err := a.job(ctx, r.Workspace, file.job, "file_id"); err != nil {
			return err
		}
		return a.streamLines(c, -1, func(ctx context.Context, write func([]byte) error) error {
			return a.forEachResultLine(ctx, r.Workspace, file, write)
		})
	}
	f, err := a.fileInfo(ctx, r.Workspace, id)
	if err != nil {
		return err
	}
	return a.streamLines(c, int(f.Bytes), func(ctx context.Context, write func([]byte) error) error {
		return a.opts.Jobs.FileContent(ctx, r.Workspace, id, 0, write)
	})
}

func queryLimit(c fiber.Ctx, defaultLimit, maxLimit int) (int, error) {
	raw := c.Query("limit")
	if raw == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(raw)
	if err != nil || n < 1 || n > maxLimit {
		return 0, api.Invalid("limit", "%q is not a number from 1 to %d", raw, maxLimit)
	}
	return n, nil
}
