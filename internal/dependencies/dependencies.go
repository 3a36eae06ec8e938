//go:build dependencies

// Package dependencies pins the modules that the tree is about to use, so that
// parallel branches share one go.mod. It is removed once all are imported.
package dependencies

import (
	_ "buf.build/go/protovalidate"
	_ "buf.build/go/protoyaml"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/ThreeDotsLabs/watermill"
	_ "github.com/ThreeDotsLabs/watermill/message"
	_ "github.com/ThreeDotsLabs/watermill/message/router/middleware"
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/google/uuid"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/twitchtv/twirp"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
