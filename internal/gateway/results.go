package gateway

import (
	"bytes"
	"io"
	"net/http"

	"rockwind.example/rockwind/internal/batch"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Sizes of reading results.
const (
	// resultsPage is how many results are listed in one call.
	resultsPage = 1000
	// readGroupBytes bounds the bodies of one read.
	readGroupBytes = 2 << 20
	// readGroupItems bounds the items of one read.
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

// endedJob returns the job of a made file once the job has ended.
func (g *Gateway) endedJob(r *http.Request, made madeFile) (*rockwindpb.Job, error) {
	response, err := g.findJob(r, made.job)
	if err != nil {
		return nil, err
	}
	job := response.GetJob()
	if job.GetState() == rockwindpb.JobState_JOB_STATE_RUNNING {
		return nil, fault.New(fault.NotFound, "the batch has not ended, so the file is not whole",
			"ask for the batch until its status is completed or cancelled").WithRetryAfter(filePause)
	}
	return job, nil
}

// serveMadeFile describes a file that is made from results.
func (g *Gateway) serveMadeFile(w http.ResponseWriter, r *http.Request, made madeFile) {
	job, err := g.endedJob(r, made)
	if err != nil {
		writeFault(w, err)
		return
	}
	var size uint64
	err = g.eachPage(r, job, func(results []*rockwindpb.ItemResult) error {
		for _, result := range results {
			if made.takes(result) {
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
		ID: made.id(), Object: "file", Bytes: size, CreatedAt: job.GetEndedUnixMs() / millisecondsPerSecond,
		Filename: made.id() + ".jsonl", Purpose: purposeOutput, Status: "processed",
	})
}

// eachPage visits a job's results in the order of items.
func (g *Gateway) eachPage(r *http.Request, job *rockwindpb.Job, visit func([]*rockwindpb.ItemResult) error) error {
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

// serveMadeContent writes the lines of a made file in the order of items.
func (g *Gateway) serveMadeContent(w http.ResponseWriter, r *http.Request, made madeFile) {
	job, err := g.endedJob(r, made)
	if err != nil {
		writeFault(w, err)
		return
	}
	output := &contentWriter{writer: w, bound: g.newAnswerBound(w)}
	err = g.eachPage(r, job, func(results []*rockwindpb.ItemResult) error {
		return g.writeResults(output, r, job, made, results)
	})
	if err == nil {
		return
	}
	if output.begun {
		g.abandonContent(w, err)
	}
	writeFault(w, err)
}

// contentWriter notes whether anything was written.
type contentWriter struct {
	writer http.ResponseWriter
	bound  answerBound
	begun  bool
}

// Write implements io.Writer.
func (c *contentWriter) Write(p []byte) (int, error) {
	if !c.begun {
		c.begun = true
		c.writer.Header().Set(headerContentType, "application/jsonl")
	}
	c.bound.arm()
	return c.writer.Write(p)
}

// writeResults writes those results of a page that belong into the file.
func (g *Gateway) writeResults(output io.Writer, r *http.Request, job *rockwindpb.Job, made madeFile, results []*rockwindpb.ItemResult) error {
	var taken []*rockwindpb.ItemResult
	size := 0
	for _, result := range results {
		if !made.takes(result) {
			continue
		}
		taken = append(taken, result)
		size += int(result.GetResult().GetLength())
		if size >= readGroupBytes || len(taken) >= readGroupItems {
			if err := g.writeGroup(output, r, job, taken); err != nil {
				return err
			}
			taken, size = nil, 0
		}
	}
	return g.writeGroup(output, r, job, taken)
}

// writeGroup reads the bodies of some results and writes a line for each.
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

// failureLine describes an item that used up its tries without an answer.
func (g *Gateway) failureLine(r *http.Request, job *rockwindpb.Job, result *rockwindpb.ItemResult) ([]byte, error) {
	customID, err := g.customID(r, job, result.GetItem())
	if err != nil {
		return nil, err
	}
	return batch.EncodeFailure(job.GetId(), result.GetItem(), customID, fault.Newf(fault.OutcomeUnknown,
		"submit the item again in another batch", "the item was started %d times and gave no answer", result.GetTries()))
}

// customID reads the caller's name of an item from the input.
func (g *Gateway) customID(r *http.Request, job *rockwindpb.Job, item uint32) (string, error) {
	for _, chunk := range job.GetInput() {
		if item < chunk.GetFirstItem() || item >= chunk.GetFirstItem()+chunk.GetItemCount() {
			continue
		}
		bodies, err := g.readBodies(r, []*rockwindpb.BodyReference{chunk.GetBody()})
		if err != nil {
			return "", err
		}
		number := chunk.GetFirstItem()
		for line := range bytes.Lines(bodies[0]) {
			trimmed := bytes.TrimSpace(line)
			if len(trimmed) == 0 {
				continue
			}
			if number == item {
				parsed, _, err := parseItem(trimmed)
				return parsed.CustomID, err
			}
			number++
		}
	}
	return "", nil
}
