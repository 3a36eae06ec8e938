package router

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// CheckItem fails with fault.InvalidArgument if an item cannot be sent as one HTTP request: a space or a line break
// in its path, identifier or headers would start another one.
func CheckItem(item *rockwindpb.StoredItem) error {
	if !isRequestTarget(item.GetPath()) {
		return invalidItem(item, "a path that starts with / and has no spaces, control characters or fragment", "path", item.GetPath())
	}
	if !httpguts.ValidHeaderFieldValue(item.GetId()) {
		return invalidItem(item, "an identifier that is a valid header value", "identifier", item.GetId())
	}
	for _, header := range item.GetHeaders() {
		if !httpguts.ValidHeaderFieldName(header.GetName()) {
			return invalidItem(item, "header names as in RFC 9110", "header name", header.GetName())
		}
		if !httpguts.ValidHeaderFieldValue(header.GetValue()) {
			return invalidItem(item, "header values without control characters", "value of the header "+header.GetName(), header.GetValue())
		}
	}
	return nil
}

func invalidItem(item *rockwindpb.StoredItem, expected, what, value string) error {
	return fault.Newf(fault.InvalidArgument, "send "+expected, "the %s of item %q is %q", what, item.GetId(), value).WithRan(fault.NotRun)
}

// isRequestTarget reports whether a path with its query is valid in a request line.
func isRequestTarget(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " #") {
		return false
	}
	_, err := url.ParseRequestURI(path)
	return err == nil
}

// RemoveConnectionHeaders deletes the headers that concern the client's connection or the length of its body.
func RemoveConnectionHeaders(header http.Header) {
	for name := range hopByHop {
		delete(header, name)
	}
	delete(header, "Content-Length")
}
