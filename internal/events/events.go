// Package events distributes typed events between the goroutines of one daemon. It is a thin layer
// over watermill's in-memory publisher and subscriber with typed topics and protobuf payloads.
// Publish does not wait for handlers.
package events

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// bufferedEvents is the capacity of each subscriber's channel.
const bufferedEvents = 4096

// Topic is a stream of events whose payload is the message type T.
type Topic[T proto.Message] struct {
	// Name is the name of the topic in watermill.
	Name string
	// New returns an empty payload.
	New func() T
}

// Bus routes the events of one daemon.
type Bus struct {
	channel *gochannel.GoChannel
	router  *message.Router
}

// NewBus returns a bus. Its handlers start when Run is called.
func NewBus() (*Bus, error) {
	logger := watermill.NopLogger{}
	router, err := message.NewRouter(message.RouterConfig{}, logger)
	if err != nil {
		return nil, errors.Wrap(err, "create event router")
	}
	router.AddMiddleware(middleware.Recoverer)
	channel := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: bufferedEvents}, logger)
	return &Bus{channel: channel, router: router}, nil
}

// Run runs the handlers until the context ends.
func (b *Bus) Run(ctx context.Context) error {
	return b.router.Run(ctx)
}

// Running returns a channel that is closed once the handlers receive events.
func (b *Bus) Running() <-chan struct{} {
	return b.router.Running()
}

// Publish sends an event to the handlers of the topic.
func Publish[T proto.Message](b *Bus, topic Topic[T], payload T) error {
	bytes, err := proto.Marshal(payload)
	if err != nil {
		return errors.Wrapf(err, "encode event for %s", topic.Name)
	}
	return b.channel.Publish(topic.Name, message.NewMessage(watermill.NewShortUUID(), bytes))
}

// Handle registers a handler for the topic. Its name must be unique in the bus. Handle must be
// called before Run.
func Handle[T proto.Message](b *Bus, name string, topic Topic[T], handler func(context.Context, T) error) {
	b.router.AddConsumerHandler(name, topic.Name, b.channel, func(received *message.Message) error {
		payload := topic.New()
		if err := proto.Unmarshal(received.Payload, payload); err != nil {
			return errors.Wrapf(err, "decode event of %s", topic.Name)
		}
		return handler(received.Context(), payload)
	})
}
