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
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Bounds of files.
const (
	// maximumFile bounds an uploaded file in bytes.
	maximumFile = 256 << 20
	// maximumField bounds a form field in bytes.
	maximumField = 4 << 10
	// purposeBatch is the purpose of files whose lines are checked as the items
	// of a batch.
	purposeBatch = "batch"
	// purposeOutput is the purpose of the files that batches make.
	purposeOutput = "batch_output"
)

// fileObject describes a file in the published shape.
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

// serveUpload answers POST /v1/files.
func (g *Gateway) serveUpload(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maximumFile)
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

// receiveFile reads the form and stores the file's bytes as they come.
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
	value, err := io.ReadAll(io.LimitReader(part, maximumField))
	if err != nil {
		return "", invalid("send the whole form", "the form can't be read: %v", err)
	}
	return string(value), nil
}

// serveFile answers GET /v1/files/{id}.
func (g *Gateway) serveFile(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if made, ok := parseMadeFile(id); ok {
		g.serveMadeFile(w, r, made)
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

// serveContent answers GET /v1/files/{id}/content.
func (g *Gateway) serveContent(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if made, ok := parseMadeFile(id); ok {
		g.serveMadeContent(w, r, made)
		return
	}
	file, err := g.findFile(r, id)
	if err != nil {
		writeFault(w, err)
		return
	}
	w.Header().Set(headerContentType, "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatUint(file.GetBytes(), 10))
	bound := g.newAnswerBound(w)
	for _, chunk := range file.GetChunks() {
		bodies, err := g.readBodies(r, []*rockwindpb.BodyReference{chunk.GetBody()})
		if err != nil {
			g.abandonContent(w, err)
			return
		}
		bound.arm()
		if _, err := w.Write(bodies[0]); err != nil {
			return
		}
	}
}

// readBodies reads bodies from the store.
func (g *Gateway) readBodies(r *http.Request, references []*rockwindpb.BodyReference) ([][]byte, error) {
	response, err := g.control.Bodies().Read(r.Context(), &rockwindpb.ReadBodiesRequest{References: references})
	if err != nil {
		return nil, err
	}
	if len(response.GetBodies()) != len(references) {
		return nil, fault.New(fault.Internal, "the store returned another number of bodies", "report this with the output of 'rockwind logs'")
	}
	return response.GetBodies(), nil
}

// abandonContent cuts the connection, so that a part of a file is not taken for
// the whole.
func (g *Gateway) abandonContent(_ http.ResponseWriter, err error) {
	g.log.WithError(err).Warn("the content of a file can't be read")
	panic(http.ErrAbortHandler)
}

// madeFile names a file that is made from the results of a batch.
type madeFile struct {
	job    string
	failed bool
}

// Prefixes of the identifiers of made files.
const (
	outputPrefix = "output-"
	errorsPrefix = "errors-"
)

func parseMadeFile(id string) (madeFile, bool) {
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		return madeFile{job: job}, true
	}
	if job, ok := strings.CutPrefix(id, errorsPrefix); ok {
		return madeFile{job: job, failed: true}, true
	}
	return madeFile{}, false
}

// id is the identifier of the made file.
func (m madeFile) id() string {
	if m.failed {
		return errorsPrefix + m.job
	}
	return outputPrefix + m.job
}

// takes tells whether a result belongs into the file.
func (m madeFile) takes(result *rockwindpb.ItemResult) bool {
	return (result.GetOutcome() == rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED) == m.failed
}

// filePause is the advice to callers that ask for a file too early.
const filePause = time.Second
