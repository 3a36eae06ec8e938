package control_test

import (
	"context"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/authority"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/secure"
	"rockwind.example/rockwind/internal/sharding"
)

// issue writes a certificate of the authority and returns the settings for it.
func issue(t *testing.T, signer *authority.Authority, folder string) *rockwindpb.TlsSettings {
	t.Helper()
	if err := signer.Write(folder, "process", netip.MustParseAddr("127.0.0.1")); err != nil {
		t.Fatal(err)
	}
	return &rockwindpb.TlsSettings{
		CertificateFile: filepath.Join(folder, "process.pem"),
		KeyFile:         filepath.Join(folder, "process.key"),
		CaFile:          filepath.Join(folder, authority.CertificateFile),
	}
}

// securedClient returns an HTTP client with a certificate of the authority.
func securedClient(t *testing.T, signer *authority.Authority) *http.Client {
	t.Helper()
	source, err := secure.Open(secure.Internal, issue(t, signer, t.TempDir()), log.Log)
	if err != nil {
		t.Fatal(err)
	}
	transport := source.Transport(controlclient.NewTransport())
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// putFile stores a file, which requires the replicas of a shard to reach each other
// over mutual TLS.
func (c *cluster) putFile(client *http.Client, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), timeout)
	defer cancel()
	caller := controlclient.New(controlclient.Options{Machines: c.machines, HTTPClient: client, Secure: true, CallTimeout: timeout})
	_, err := caller.Files().Put(ctx, &rockwindpb.PutFileRequest{File: &rockwindpb.StoredFile{
		Id: sharding.FormatIdentifier("file", 1, 1), Tenant: "clinic", Purpose: "batch", FileName: "input.jsonl",
	}})
	return err
}

// Machines must accept only callers with certificates of their own authority.
func TestMutualTLSOverARealGroup(t *testing.T) {
	ours, err := authority.New("ours", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	other, err := authority.New("other", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	c := newCluster(t, issue(t, ours, t.TempDir()))
	client := securedClient(t, ours)
	c.found(client, "https://")
	if err := c.putFile(client, testTimeout); err != nil {
		t.Fatalf("a caller with a certificate of the same authority was refused: %v", err)
	}
	if err := c.putFile(securedClient(t, other), time.Second); err == nil {
		t.Error("a caller with a certificate of another authority was accepted")
	}
	plain := &http.Client{Timeout: testTimeout}
	response, err := plain.Get("http://" + c.machines[0].GetAddress() + "/healthz")
	if err == nil {
		defer response.Body.Close()
		if response.StatusCode == http.StatusOK {
			t.Error("a request without TLS was accepted")
		}
	} else if !strings.Contains(err.Error(), "malformed") {
		t.Error(err)
	}
}
