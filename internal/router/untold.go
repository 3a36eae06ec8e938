package router

import (
	"time"

	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// untoldSource adds to the loads of a source what no coordinator was told of ends of servers, so
// that all processes hold a content that ends servers while the root group has no leader.
type untoldSource struct {
	loadshare.Source
	reporter *site.Reporter
}

var _ loadshare.Source = untoldSource{}

// Own implements loadshare.Source.
func (s untoldSource) Own() *rockwindpb.LoadDigest {
	digest := s.Source.Own()
	digest.Untold = s.reporter.Untold(time.Now())
	return digest
}

// Sum implements loadshare.Source.
func (s untoldSource) Sum(names []string) *rockwindpb.LoadDigest {
	digest := s.Source.Sum(names)
	digest.Untold = s.reporter.UntoldInGroup(time.Now())
	return digest
}

// Elsewhere implements loadshare.Source.
func (s untoldSource) Elsewhere(group string) *rockwindpb.LoadDigest {
	digest := s.Source.Elsewhere(group)
	digest.Untold = s.reporter.UntoldElsewhere(time.Now())
	return digest
}

// Take implements loadshare.Source.
func (s untoldSource) Take(digest *rockwindpb.LoadDigest) {
	s.Source.Take(digest)
	s.reporter.Hear(digest.GetUntold(), digest.GetGroup() == "", time.Now())
}
