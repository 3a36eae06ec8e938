package gateway

import (
	"bytes"
	"io"
	"net/http"

	"rockwind.example/rockwind/internal/batch"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Limits of the reads of results.
const (
	// resultsPage is the number of results listed in one call.
	resultsPage = 1000
	// readGroupBytes is the size at which a group of bodies is read.
	readGroupBytes = 2 << 20
	// readGroupItems is the most items in a group.
	readGroupItems = 256
)

// firstLine returns the first line that is not blank.
func firstLine(body []byte) []byte {
	for line := range bytes.Lines(body) {
		if trimmed := bytes.TrimSpace(line); len(trimmed) > 0 {
			return trimmed
		}
	}
	return nil
}

// endedJob returns the job of a result file. It fails if the job is still running.
func (g *Gateway) endedJob(r *http.Request, file resultFile) (*rockwindpb.Job, error) {
	response, err := g.findJob(r, file.job)
	if err != nil {
		return nil, err
	}
	job := response.GetJob()
	if job.GetState() == rockwindpb.JobState_JOB_STATE_RUNNING {
		return nil, fault.New(fault.NotFound, "the batch has not ended, so the file is not complete",
			"ask for the batch until its status is completed or cancelled").WithRetryAfter(resultFileRetryAfter)
	}
	return job, nil
}

// serveResultFile handles GET /v1/files/{id} of a result file.
func (g *Gateway) serveResultFile(w http.ResponseWriter, r *http.Request, file resultFile) {
	job, err := g.endedJob(r, file)
	if err != nil {
		writeFault(w, err)
		return
	}
	var size uint64
	err = g.forEachResultPage(r, job, func(results []*rockwindpb.ItemResult) error {
		for _, result := range results {
			if file.includes(result) {
				size += uint64(result.GetResult().GetLength()) + 1
			}
		}
		return nil
	})
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, fileObject{
		ID: file.id(), Object: "file", Bytes: size, CreatedAt: job.GetEndedUnixMs() / millisecondsPerSecond,
		Filename: file.id() + ".jsonl", Purpose: purposeOutput, Status: "processed",
	})
}

// forEachResultPage calls visit with the pages of a job's results in the order of items.
func (g *Gateway) forEachResultPage(r *http.Request, job *rockwindpb.Job, visit func([]*rockwindpb.ItemResult) error) error {
	for next := uint32(0); next < job.GetItemCount(); {
		response, err := g.control.Jobs().ListResults(r.Context(), &rockwindpb.ListResultsRequest{
			JobId: job.GetId(), Tenant: job.GetTenant(), FromItem: next, Limit: resultsPage,
		})
		if err != nil {
			return err
		}
		if err := visit(response.GetResults()); err != nil {
			return err
		}
		if response.GetNextItem() <= next {
			break
		}
		next = response.GetNextItem()
	}
	return nil
}

// serveResultContent handles GET /v1/files/{id}/content of a result file. The lines
// are in the order of items.
func (g *Gateway) serveResultContent(w http.ResponseWriter, r *http.Request, file resultFile) {
	job, err := g.endedJob(r, file)
	if err != nil {
		writeFault(w, err)
		return
	}
	output := &contentWriter{writer: w, deadline: g.newWriteDeadline(w)}
	err = g.forEachResultPage(r, job, func(results []*rockwindpb.ItemResult) error {
		return g.writeResults(output, r, job, file, results)
	})
	if err == nil {
		return
	}
	if output.begun {
		g.abortContent(w, r, err)
	}
	writeFault(w, err)
}

// contentWriter writes the content of a result file. begun is set after the first
// write.
type contentWriter struct {
	writer   http.ResponseWriter
	deadline writeDeadline
	begun    bool
}

// Write implements io.Writer.
func (c *contentWriter) Write(p []byte) (int, error) {
	if !c.begun {
		c.begun = true
		c.writer.Header().Set(headerContentType, "application/jsonl")
	}
	c.deadline.extend()
	return c.writer.Write(p)
}

// writeResults writes the results of a page that belong to the file.
func (g *Gateway) writeResults(output io.Writer, r *http.Request, job *rockwindpb.Job, file resultFile, results []*rockwindpb.ItemResult) error {
	var selected []*rockwindpb.ItemResult
	size := 0
	for _, result := range results {
		if !file.includes(result) {
			continue
		}
		selected = append(selected, result)
		size += int(result.GetResult().GetLength())
		if size >= readGroupBytes || len(selected) >= readGroupItems {
			if err := g.writeGroup(output, r, job, selected); err != nil {
				return err
			}
			selected, size = nil, 0
		}
	}
	return g.writeGroup(output, r, job, selected)
}

// writeGroup reads the bodies of the results and writes a line for each.
func (g *Gateway) writeGroup(output io.Writer, r *http.Request, job *rockwindpb.Job, results []*rockwindpb.ItemResult) error {
	var references []*rockwindpb.BodyReference
	for _, result := range results {
		if result.GetResult() != nil {
			references = append(references, result.GetResult())
		}
	}
	var bodies [][]byte
	if len(references) > 0 {
		var err error
		if bodies, err = g.readBodies(r, references); err != nil {
			return err
		}
	}
	for _, result := range results {
		var line []byte
		if result.GetResult() != nil {
			line, bodies = bodies[0], bodies[1:]
		} else {
			var err error
			if line, err = g.failureLine(r, job, result); err != nil {
				return err
			}
		}
		if _, err := output.Write(append(line[:len(line):len(line)], '\n')); err != nil {
			return err
		}
	}
	return nil
}

// failureLine returns the line of an item that has no response after all its tries.
func (g *Gateway) failureLine(r *http.Request, job *rockwindpb.Job, result *rockwindpb.ItemResult) ([]byte, error) {
	customID, err := g.customID(r, job, result.GetItem())
	if err != nil {
		return nil, err
	}
	return batch.EncodeError(job.GetId(), result.GetItem(), customID, fault.Newf(fault.OutcomeUnknown,
		"submit the item again in another batch", "the item was started %d times and gave no answer", result.GetTries()))
}

// customID returns the custom_id of an item from the input file.
func (g *Gateway) customID(r *http.Request, job *rockwindpb.Job, item uint32) (string, error) {
	for _, chunk := range job.GetInput() {
		if item < chunk.GetFirstItem() || item >= chunk.GetFirstItem()+chunk.GetItemCount() {
			continue
		}
		bodies, err := g.readBodies(r, []*rockwindpb.BodyReference{chunk.GetBody()})
		if err != nil {
			return "", err
		}
		current := chunk.GetFirstItem()
		for line := range bytes.Lines(bodies[0]) {
			trimmed := bytes.TrimSpace(line)
			if len(trimmed) == 0 {
				continue
			}
			if current == item {
				parsed, _, err := parseItem(trimmed)
				return parsed.CustomID, err
			}
			current++
		}
	}
	return "", nil
}
