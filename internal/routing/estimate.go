package routing

import "time"

// Estimate returns the expected time to the first token of a request on a
// server, including the network. It starts from the reported load, corrected by
// the requests that this gateway sent and finished since the report was taken,
// and never assumes less than this gateway has in flight.
func (v *View) Estimate(server *Server, request *Request, now time.Duration) time.Duration {
	running := server.running()
	waitingTokens := server.Report.Waiting * v.Cost.MeanPromptTokens
	promptTokens := max(waitingTokens, float32(server.OwnPromptTokens)) + float32(request.PromptTokens)
	speed := float32(max(1, server.Accelerators))
	step := float32(v.Cost.StepBase) + running*float32(v.Cost.PerSequence)
	step = max(step, float32(server.Report.Step))
	prefill := promptTokens * float32(v.Cost.PerPromptToken)
	network := v.Zones[server.Zone].ExtraRTT
	return network + time.Duration((step+prefill)/speed)
}

// OnlineRequests estimates the current number of online requests on the server,
// including waiting ones.
func (s *Server) OnlineRequests() float32 {
	reported := s.Report.RunningOnline + s.Report.Waiting
	corrected := reported + float32(s.SentSinceReport-s.EndedSinceReport)
	return max(corrected, float32(s.OwnOnline))
}

// running estimates the number of requests in the current step.
func (s *Server) running() float32 {
	return s.OnlineRequests() + max(s.Report.RunningBatch, float32(s.OwnBatch))
}
