package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/eventlog"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/peers"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/serve"
	"github.com/jacinthnotch/jacinthnotch/platform"
)

// instancesTopic is the topic on which instances publish their own entries.
const instancesTopic = "instances"

type serveCmd struct {
	Settings string `help:"Settings file." required:"" placeholder:"FILE"`
	Check    bool   `help:"Only validate the settings file."`
}

// Run serves until SIGTERM or SIGINT has drained the instance.
func (c *serveCmd) Run(out io.Writer) error {
	// Registered first, because an unhandled SIGHUP terminates the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := serve.Load(c.Settings)
	if err != nil || c.Check {
		return err
	}
	logWriter := eventlog.New(out)
	defer logWriter.Close()
	klog.SetOutput(logWriter)
	defer klog.SetOutput(io.Discard)
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload(ctx, hangups, c.Settings, *s)
	i, err := serve.New(s, newPlatform(s.Store.Address))
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

// configPageBytes limits the versions of the configuration that are read at once, of which only the
// newest one matters.
const configPageBytes = 64 << 10

// newPlatform returns the adapter for the platform whose store listens at address.
func newPlatform(address string) serve.Platform {
	return serve.Platform{
		Protocol:       platform.Protocol{},
		ReadinessPath:  platform.ReadinessPath,
		Store:          platform.NewStore(address, exchange.DialControl),
		InstancesTopic: platform.KeyedTopic(instancesTopic),
		NewFeeds: func(s port.Store) serve.Feeds {
			config := platform.NewFeed(s, platform.ConfigTopic, platform.DecodeRevision, nil)
			config.PageBytes = configPageBytes
			return serve.Feeds{
				Config:    config,
				Servers:   platform.NewFeed(s, platform.ServersTopic, platform.NewServerDecoder().Decode, nil),
				Instances: platform.NewFeed(s, platform.KeyedTopic(instancesTopic), decodeInstance, encodeInstance),
			}
		},
	}
}

func decodeInstance(_ string, raw []byte) (*peers.Instance, error) {
	i := &peers.Instance{}
	return i, json.Unmarshal(raw, i)
}

func encodeInstance(i *peers.Instance) ([]byte, error) {
	if i == nil {
		return nil, nil // a nil payload deletes the key
	}
	return json.Marshal(i)
}
