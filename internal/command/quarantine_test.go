package command_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/command"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// fakeQuarantine is a coordinator that holds one content, or fails with a given error.
type fakeQuarantine struct {
	content fingerprint.Fingerprint
	failure error
}

// Report implements rockwindpb.QuarantineService.
func (f fakeQuarantine) Report(context.Context, *rockwindpb.ReportQuarantineRequest) (*rockwindpb.ReportQuarantineResponse, error) {
	return nil, fault.ToTwirp(f.failure)
}

// List implements rockwindpb.QuarantineService.
func (f fakeQuarantine) List(context.Context, *rockwindpb.ListQuarantineRequest) (*rockwindpb.ListQuarantineResponse, error) {
	if f.failure != nil {
		return nil, fault.ToTwirp(f.failure)
	}
	return &rockwindpb.ListQuarantineResponse{Suspects: []*rockwindpb.Suspect{{
		Content: f.content.Bytes(), Servers: []string{"s1", "s2", "s3"}, Route: "hints", HeldMs: 90_000, LastUnixMs: 1_000,
	}, {
		Content: fingerprint.OfParts("models", []string{"part", "own"})[0].Bytes(), Part: true, With: [][]byte{f.content.Bytes()},
		Servers: []string{"s1", "s2", "s3"}, Route: "hints", HeldMs: 90_000, LastUnixMs: 1_000,
	}}}, nil
}

// Release implements rockwindpb.QuarantineService.
func (f fakeQuarantine) Release(_ context.Context, request *rockwindpb.ReleaseContentRequest) (*rockwindpb.ReleaseContentResponse, error) {
	if f.failure != nil {
		return nil, fault.ToTwirp(f.failure)
	}
	return &rockwindpb.ReleaseContentResponse{Known: bytes.Equal(request.GetContent(), f.content.Bytes())}, nil
}

// ClaimTrial implements rockwindpb.QuarantineService.
func (f fakeQuarantine) ClaimTrial(context.Context, *rockwindpb.ClaimTrialRequest) (*rockwindpb.ClaimTrialResponse, error) {
	return nil, fault.ToTwirp(f.failure)
}

// ShareUnreported implements rockwindpb.QuarantineService.
func (f fakeQuarantine) ShareUnreported(context.Context, *rockwindpb.ShareUnreportedRequest) (*rockwindpb.ShareUnreportedResponse, error) {
	return nil, fault.ToTwirp(f.failure)
}

// addressOf starts a server for a coordinator and returns its address.
func addressOf(t *testing.T, coordinator fakeQuarantine) string {
	t.Helper()
	server := httptest.NewServer(rockwindpb.NewQuarantineServiceServer(coordinator))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestQuarantineIsListedAndReleased(t *testing.T) {
	content := fingerprint.Of(fingerprint.Content{Body: []byte("held")})
	other := fingerprint.Of(fingerprint.Content{Body: []byte("other")})
	leaderless := addressOf(t, fakeQuarantine{failure: fault.New(fault.Unavailable, "this coordinator does not hear the leader", "ask another one")})
	control := leaderless + "," + addressOf(t, fakeQuarantine{content: content})
	for _, each := range []struct {
		arguments []string
		code      int
		shown     []string
	}{
		{[]string{"quarantine", "list"}, command.ExitOK, []string{content.String(), "hints", "3: s1 s2 s3", "1m30s", "request", "part, with 1"}},
		{[]string{"quarantine", "list", "--output", "json"}, command.ExitOK, []string{`"held_ms": "90000"`}},
		{[]string{"quarantine", "release", content.String()}, command.ExitOK, []string{"may run again"}},
		{[]string{"quarantine", "release", other.String()}, command.ExitRefused, []string{"quarantine list"}},
		{[]string{"quarantine", "release", "nonsense"}, command.ExitRefused, []string{"is not a content"}},
	} {
		var output bytes.Buffer
		code := command.Run(t.Context(), append(each.arguments, "--control", control), nil, &output, &output)
		if code != each.code {
			t.Errorf("%v ended with %d: %s", each.arguments, code, output.String())
		}
		for _, text := range each.shown {
			if !strings.Contains(output.String(), text) {
				t.Errorf("%v does not show %q: %s", each.arguments, text, output.String())
			}
		}
	}
	var output bytes.Buffer
	if code := command.Run(t.Context(), []string{"quarantine", "list", "--control", leaderless}, nil, &output, &output); code != command.ExitUnavailable {
		t.Errorf("a coordinator without a leader gives %d: %s", code, output.String())
	}
}
