package router_test

import (
	"net/http"
	"testing"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
)

// TestItemThatIsNotOneRequestIsRefused guards against items that send servers a second request, in the name of another
// tenant.
func TestItemThatIsNotOneRequestIsRefused(t *testing.T) {
	item := func(change func(*rockwindpb.StoredItem)) *rockwindpb.StoredItem {
		created := &rockwindpb.StoredItem{Id: "i1", Path: "/batch/1?a=b%20c", Headers: []*rockwindpb.StoredHeader{{Name: "Model", Value: "m, n"}}}
		change(created)
		return created
	}
	withPath := func(path string) *rockwindpb.StoredItem {
		return item(func(changed *rockwindpb.StoredItem) { changed.Path = path })
	}
	withHeader := func(name, value string) *rockwindpb.StoredItem {
		return item(func(changed *rockwindpb.StoredItem) {
			changed.Headers[0] = &rockwindpb.StoredHeader{Name: name, Value: value}
		})
	}
	for name, test := range map[string]struct {
		item    *rockwindpb.StoredItem
		invalid bool
	}{
		"valid":                       {withPath("/batch/1?a=b%20c"), false},
		"empty header value":          {withHeader("Model", ""), false},
		"no identifier":               {item(func(changed *rockwindpb.StoredItem) { changed.Id = "" }), false},
		"line break in the path":      {withPath("/1 HTTP/1.1\r\n\r\nPOST /2"), true},
		"line feed in the path":       {withPath("/1\n/2"), true},
		"space in the path":           {withPath("/1 /2"), true},
		"tab in the path":             {withPath("/1\t2"), true},
		"fragment":                    {withPath("/1#2"), true},
		"invalid escape":              {withPath("/1%zz"), true},
		"relative path":               {withPath("batch/1"), true},
		"other server":                {withPath("http://another/1"), true},
		"no path":                     {withPath(""), true},
		"line break in a header name": {withHeader("A: b\r\nC", "d"), true},
		"space in a header name":      {withHeader("Transfer-Encoding ", "chunked"), true},
		"empty header name":           {withHeader("", "d"), true},
		"line break in a value":       {withHeader("Model", "m\r\nTenant: beta"), true},
		"line break in an identifier": {item(func(changed *rockwindpb.StoredItem) { changed.Id = "i1\r\nTenant: beta" }), true},
	} {
		t.Run(name, func(t *testing.T) {
			err := router.CheckItem(test.item)
			if fault.Is(err, fault.InvalidArgument) != test.invalid || !test.invalid && err != nil {
				t.Errorf("got %v", err)
			}
			if test.invalid && fault.From(err).Ran != fault.NotRun {
				t.Error("the client is not informed that nothing runs")
			}
		})
	}
}

// TestConnectionHeadersAreRemoved guards against servers that read another body than the one that was sent.
func TestConnectionHeadersAreRemoved(t *testing.T) {
	header := http.Header{"Transfer-Encoding": {"chunked"}, "Content-Length": {"0"}, "Connection": {"close"}, "Upgrade": {"x"}, "Model": {"m"}}
	router.RemoveConnectionHeaders(header)
	if len(header) != 1 || header.Get("Model") != "m" {
		t.Errorf("the headers are %v", header)
	}
}
