package gateway

import (
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/httpabort"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Limits and purposes of files.
const (
	// maximumFileBytes limits the body of an upload.
	maximumFileBytes = 256 << 20
	// maximumFieldBytes limits a form field; the rest of a longer one is ignored.
	maximumFieldBytes = 4 << 10
	// purposeBatch is the purpose of input files of batches.
	purposeBatch = "batch"
	// purposeOutput is the purpose of result files of batches.
	purposeOutput = "batch_output"
)

// fileObject is a file in the format of the OpenAI API.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     uint64 `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileObject(file *rockwindpb.StoredFile) fileObject {
	return fileObject{
		ID: file.GetId(), Object: "file", Bytes: file.GetBytes(), CreatedAt: file.GetCreatedUnixMs() / millisecondsPerSecond,
		Filename: file.GetFileName(), Purpose: file.GetPurpose(), Status: "processed",
	}
}

const millisecondsPerSecond = 1000

// serveUpload handles POST /v1/files.
func (g *Gateway) serveUpload(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maximumFileBytes)
	file, err := g.receiveFile(r)
	if err != nil {
		writeFault(w, err)
		return
	}
	response, err := g.control.Files().Put(r.Context(), &rockwindpb.PutFileRequest{File: file})
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, newFileObject(response.GetFile()))
}

// receiveFile reads the form and stores the file while it is being received.
func (g *Gateway) receiveFile(r *http.Request) (*rockwindpb.StoredFile, error) {
	form, err := r.MultipartReader()
	if err != nil {
		return nil, invalid("send multipart/form-data with the fields purpose and file", "the body is not a form: %v", err)
	}
	file := &rockwindpb.StoredFile{Tenant: tenantOf(r).GetName()}
	var chunks *chunkWriter
	for {
		part, err := form.NextPart()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, invalid("send the whole form, of at most 256 MiB", "the form can't be read: %v", err)
		}
		switch part.FormName() {
		case "purpose":
			file.Purpose, err = readField(part)
		case "file":
			file.FileName = part.FileName()
			chunks = newChunkWriter(r.Context(), g.control.Bodies())
			err = chunks.copy(part)
		}
		if err != nil {
			return nil, err
		}
	}
	if chunks == nil || file.Purpose == "" {
		return nil, invalid("send both fields", "the form lacks the field purpose or file")
	}
	return chunks.finish(file)
}

func readField(part *multipart.Part) (string, error) {
	value, err := io.ReadAll(io.LimitReader(part, maximumFieldBytes))
	if err != nil {
		return "", invalid("send the whole form", "the form can't be read: %v", err)
	}
	return string(value), nil
}

// serveFile handles GET /v1/files/{id}.
func (g *Gateway) serveFile(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if file, ok := parseResultFile(id); ok {
		g.serveResultFile(w, r, file)
		return
	}
	file, err := g.findFile(r, id)
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, newFileObject(file))
}

func (g *Gateway) findFile(r *http.Request, id string) (*rockwindpb.StoredFile, error) {
	response, err := g.control.Files().Get(r.Context(), &rockwindpb.GetFileRequest{Tenant: tenantOf(r).GetName(), Id: id})
	if fault.Is(err, fault.InvalidArgument) {
		return nil, fault.Newf(fault.NotFound, "check the identifier", "there is no file %q", id)
	}
	return response.GetFile(), err
}

// serveContent handles GET /v1/files/{id}/content.
func (g *Gateway) serveContent(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if file, ok := parseResultFile(id); ok {
		g.serveResultContent(w, r, file)
		return
	}
	file, err := g.findFile(r, id)
	if err != nil {
		writeFault(w, err)
		return
	}
	w.Header().Set(headerContentType, "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatUint(file.GetBytes(), 10))
	deadline := g.newWriteDeadline(w)
	for _, chunk := range file.GetChunks() {
		bodies, err := g.readBodies(r, []*rockwindpb.BodyReference{chunk.GetBody()})
		if err != nil {
			g.abortContent(w, r, err)
			return
		}
		deadline.extend()
		if _, err := w.Write(bodies[0]); err != nil {
			return
		}
	}
}

// readBodies reads bodies from the body store, in the order of the references.
func (g *Gateway) readBodies(r *http.Request, references []*rockwindpb.BodyReference) ([][]byte, error) {
	response, err := g.control.Bodies().Read(r.Context(), &rockwindpb.ReadBodiesRequest{References: references})
	if err != nil {
		return nil, err
	}
	if len(response.GetBodies()) != len(references) {
		return nil, fault.New(fault.Internal, "the store returned a different number of bodies than requested", "report this with the output of 'rockwind logs'")
	}
	return response.GetBodies(), nil
}

// abortContent logs the error and aborts the connection, so that the caller does not
// take a partial file for complete.
func (g *Gateway) abortContent(w http.ResponseWriter, r *http.Request, err error) {
	g.log.WithError(err).Warn("can't read the content of a file; connection aborted")
	httpabort.Abort(w, r)
}

// resultFile identifies the output file of a batch or, if failed is set, its error
// file. Both are generated from the results when they are read.
type resultFile struct {
	job    string
	failed bool
}

// Prefixes of the IDs of result files.
const (
	outputPrefix = "output-"
	errorsPrefix = "errors-"
)

func parseResultFile(id string) (resultFile, bool) {
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		return resultFile{job: job}, true
	}
	if job, ok := strings.CutPrefix(id, errorsPrefix); ok {
		return resultFile{job: job, failed: true}, true
	}
	return resultFile{}, false
}

// id returns the file ID.
func (f resultFile) id() string {
	if f.failed {
		return errorsPrefix + f.job
	}
	return outputPrefix + f.job
}

// includes reports whether a result belongs to the file.
func (f resultFile) includes(result *rockwindpb.ItemResult) bool {
	return (result.GetOutcome() == rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED) == f.failed
}

// resultFileRetryAfter is the Retry-After of requests for a result file before the
// batch has ended.
const resultFileRetryAfter = time.Second
